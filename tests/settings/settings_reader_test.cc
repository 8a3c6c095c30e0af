#include "libraries/settings/settings_reader.h"

#include <array>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

ini_document Parse(std::string_view text) {
  return std::get<ini_document>(ParseIniDocument(text));
}

// Guards against a process that starts with a setting it does not know.
TEST(SettingsReaderTest, ReportsEveryFaultOfTheFile) {
  const ini_document document = Parse(
      "[host]\nthreads = 0\naddress = localhost:80\nfast = yes\ntypo = 1\n"
      "mode = slow\n[other]\n");
  settings_reader reader(document);
  EXPECT_EQ(reader.Integer("host", "threads", 8, {1, 64}), 8);
  EXPECT_EQ(reader.RequiredEndpoint("host", "address"), endpoint{});
  EXPECT_TRUE(reader.Boolean("host", "fast", true));
  constexpr std::array<std::string_view, 2> kModes = {"one", "two"};
  EXPECT_EQ(reader.Choice("host", "mode", kModes), "one");
  EXPECT_EQ(reader.RequiredString("host", "zone"), "");
  const line_errors errors = reader.Finish();
  std::vector<int> lines;
  for (const line_error& error : errors) {
    lines.push_back(error.line);
  }
  EXPECT_EQ(lines, (std::vector<int>{1, 2, 3, 4, 5, 6, 7}));
  EXPECT_EQ(errors[1].message,
            "[host] threads: expected a whole number from 1 to 64, got \"0\"");
}

// Guards against defaults that hide values from the file.
TEST(SettingsReaderTest, ReturnsValuesOfTheFile) {
  const ini_document document =
      Parse("[host]\nthreads = 9\naddress = 127.0.0.1:80\nfast = false\n");
  settings_reader reader(document);
  EXPECT_EQ(reader.RequiredInteger("host", "threads", {1, 64}), 9);
  EXPECT_EQ(reader.RequiredEndpoint("host", "address").port, 80);
  EXPECT_FALSE(reader.Boolean("host", "fast", true));
  EXPECT_EQ(reader.String("host", "zone", "a"), "a");
  EXPECT_TRUE(reader.Finish().empty());
}

}  // namespace
}  // namespace bulrushshore

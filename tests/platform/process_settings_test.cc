#include "platform/process_settings.h"

#include <string>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr char kSettings[] =
    "node=front-1\n"
    "zone=z-a\n"
    "region=z\n"
    "listen.front=10.1.0.15:8641\n"
    "listen.ready=10.1.0.15:8640\n"
    "listen.directory=10.1.0.15:8644\n"
    "internal-port-range=7620,7635\n"
    "platform.address=10.200.1.7:8642\n"
    "bounds=grace-s=6,ttl_max_s=5,retry-budget-ratio=0.25,"
    "retry-budget-slack=77,floor-share=0.7\n"
    "unknown.field=1\n";

std::string Replace(std::string text,
                    std::string_view old_part,
                    std::string_view new_part) {
  text.replace(text.find(old_part), old_part.size(), new_part);
  return text;
}

std::string ErrorFor(const std::string& text) {
  const result<process_settings> parsed = ParseProcessSettings(text);
  return IsOk(parsed) ? "" : ErrorOf(parsed).message;
}

TEST(ProcessSettingsTest, ParsesAllFieldTypes) {
  const result<process_settings> parsed = ParseProcessSettings(kSettings);
  ASSERT_TRUE(IsOk(parsed));
  const process_settings& settings = ValueOf(parsed);
  EXPECT_EQ(settings.host_id, "front-1");
  EXPECT_EQ(settings.caller_address, (endpoint{"10.1.0.15", 8641}));
  EXPECT_EQ(settings.peer_address, (endpoint{"10.1.0.15", 7620}));
  EXPECT_EQ(settings.store_address, (endpoint{"10.200.1.7", 8642}));
  EXPECT_EQ(settings.stop_grace, std::chrono::seconds(6));
  EXPECT_DOUBLE_EQ(settings.retry_ratio, 0.25);
  EXPECT_DOUBLE_EQ(settings.retry_allowance, 77.0);
}

TEST(ProcessSettingsTest, ParsesTheFleetStartFlag) {
  const std::string text = kSettings;
  EXPECT_FALSE(ValueOf(ParseProcessSettings(text)).is_fleet_start);
  EXPECT_TRUE(
      ValueOf(ParseProcessSettings(text + "bootstrap=true\n")).is_fleet_start);
  EXPECT_FALSE(
      ValueOf(ParseProcessSettings(text + "bootstrap=false\n")).is_fleet_start);
  EXPECT_EQ(ErrorFor(text + "bootstrap=soon\n"),
            "setting \"bootstrap\": expected true or false");
}

TEST(ProcessSettingsTest, AcceptsCarriageReturnLineFeed) {
  EXPECT_EQ(ErrorFor(Replace(kSettings, "z-a\n", "z-a\r\n")), "");
}

TEST(ProcessSettingsTest, ErrorNamesTheInvalidField) {
  EXPECT_EQ(ErrorFor(Replace(kSettings, "node=front-1", "")),
            "setting \"node\": expected a value");
  EXPECT_EQ(ErrorFor(Replace(kSettings, "10.1.0.15:8641", "nowhere")),
            "setting \"listen.front\": expected IP:PORT");
  EXPECT_EQ(ErrorFor(Replace(kSettings, "7620,7635", "x")),
            "setting \"internal-port-range\": expected two ports, separated "
            "by a comma");
  EXPECT_EQ(ErrorFor(Replace(kSettings, "grace-s=6", "grace-s=soon")),
            "setting \"bounds: grace-s\": expected a number of 0 or more");
}

TEST(ProcessSettingsTest, ReportsAMissingFile) {
  const result<process_settings> read = ReadProcessSettings("/nonexistent");
  ASSERT_FALSE(IsOk(read));
  EXPECT_EQ(ErrorOf(read).code, error_code::kNotFound);
}

}  // namespace
}  // namespace bulrushshore

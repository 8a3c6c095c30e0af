#include "libraries/settings/ini_document.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

ini_document ParseOrFail(std::string_view text) {
  std::variant<ini_document, line_errors> parsed = ParseIniDocument(text);
  if (const line_errors* errors = std::get_if<line_errors>(&parsed)) {
    ADD_FAILURE() << FormatLineErrors("text", *errors);
    return {};
  }
  return std::get<ini_document>(parsed);
}

line_errors ErrorsOf(std::string_view text) {
  std::variant<ini_document, line_errors> parsed = ParseIniDocument(text);
  const line_errors* const errors = std::get_if<line_errors>(&parsed);
  return errors == nullptr ? line_errors{} : *errors;
}

// Guards against inih cutting long section names and passing over empty
// sections.
TEST(IniDocumentTest, KeepsLongAndEmptySections) {
  const std::string name = "withdraw organisation " + std::string(64, 'x');
  const ini_document document = ParseOrFail("[" + name + "]\n[last]\nk = v\n");
  ASSERT_EQ(document.sections.size(), 2U);
  EXPECT_EQ(document.sections[0].name, name);
  EXPECT_TRUE(document.sections[0].entries.empty());
  EXPECT_EQ(document.sections[1].entries.front().line, 3);
}

// Guards against comments that become part of a value.
TEST(IniDocumentTest, RemovesComments) {
  const ini_document document =
      ParseOrFail("# first\n[a] ; why\nk = v ; note\n; last");
  ASSERT_EQ(document.sections.size(), 1U);
  EXPECT_EQ(document.sections[0].entries.front().value, "v");
}

// Guards against reports that stop at the first fault.
TEST(IniDocumentTest, ReportsAllFaultsWithTheirLines) {
  const line_errors errors =
      ErrorsOf("stray = 1\n[a]\nnonsense\nk = 1\nk = 2\n[a]\n[open\nlong = " +
               std::string(kMaxIniLineBytes, 'x') + "\n");
  std::vector<int> lines;
  for (const line_error& error : errors) {
    lines.push_back(error.line);
  }
  EXPECT_EQ(lines, (std::vector<int>{1, 3, 5, 6, 7, 8}));
}

// Guards against an indented line that silently extends the value above it.
TEST(IniDocumentTest, RefusesContinuationLines) {
  const line_errors errors = ErrorsOf("[a]\nk = v\n  more\n");
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors.front().line, 3);
}

}  // namespace
}  // namespace bulrushshore

#ifndef LIBRARIES_SETTINGS_INI_DOCUMENT_H_
#define LIBRARIES_SETTINGS_INI_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrushshore {

struct ini_entry {
  std::string key;
  std::string value;
  int line = 0;
};

struct ini_section {
  std::string name;
  int line = 0;
  std::vector<ini_entry> entries;

  // Returns the entry named `key`, or null. Thread safe.
  const ini_entry* Find(std::string_view key) const;
};

// The sections of a file in the order in which they stand there.
struct ini_document {
  std::vector<ini_section> sections;
};

// A fault of a text and the line where it was found; line 0 stands for the
// text as a whole.
struct line_error {
  int line = 0;
  std::string message;

  bool operator==(const line_error&) const = default;
};

using line_errors = std::vector<line_error>;

// Longest line that the parser takes, without the line break.
inline constexpr std::size_t kMaxIniLineBytes = 190;

// Parses `text`. All faults are reported together, ordered by line: syntax
// errors, lines above kMaxIniLineBytes, NUL bytes, keys outside a section,
// repeated sections and repeated keys. Comments start with ';' or '#' at the
// start of a line, or with " ;" behind a value. Thread safe.
std::variant<ini_document, line_errors> ParseIniDocument(std::string_view text);

// Formats `errors` as "NAME:LINE: MESSAGE" lines. Thread safe.
std::string FormatLineErrors(std::string_view name, const line_errors& errors);

}  // namespace bulrushshore

#endif  // LIBRARIES_SETTINGS_INI_DOCUMENT_H_

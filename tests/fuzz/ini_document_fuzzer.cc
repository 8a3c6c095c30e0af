#include <variant>

#include "libraries/settings/ini_document.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

void CheckSection(const ini_section& section, int& last_line) {
  Require(section.line > last_line, "sections are ordered by line");
  last_line = section.line;
  for (const ini_entry& entry : section.entries) {
    Require(entry.line > last_line, "entries are ordered by line");
    Require(section.Find(entry.key) == &entry, "keys stand once");
    last_line = entry.line;
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::variant<ini_document, line_errors> parsed =
      ParseIniDocument(FuzzText(data, size));
  if (const line_errors* errors = std::get_if<line_errors>(&parsed)) {
    Require(!errors->empty(), "a refused text has errors");
    return 0;
  }
  int last_line = 0;
  for (const ini_section& section : std::get<ini_document>(parsed).sections) {
    CheckSection(section, last_line);
  }
  return 0;
}

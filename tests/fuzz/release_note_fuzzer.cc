#include <algorithm>
#include <variant>

#include "libraries/catalog/apply.h"
#include "libraries/catalog/part_codec.h"
#include "libraries/catalog/release_note.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

bool IsOrdered(const line_errors& errors) {
  return std::is_sorted(errors.begin(), errors.end(),
                        [](const line_error& left, const line_error& right) {
                          return left.line < right.line;
                        });
}

// A catalog that a note produces must be readable by every host.
void CheckParts(const catalog_contents& contents) {
  const result<encoded_parts> parts = EncodeParts(contents);
  if (!IsOk(parts)) {
    return;
  }
  catalog_contents decoded;
  for (std::size_t index = 0; index < kPartCount; ++index) {
    const std::string& bytes = ValueOf(parts)[index];
    Require(bytes.empty() || IsOk(DecodePart(index, bytes, decoded)),
            "an encoded part decodes");
  }
  Require(decoded == contents, "the parts hold the whole catalog");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = FuzzText(data, size);
  const parsed_note parsed = ParseReleaseNote(text);
  Require(IsOrdered(parsed.errors), "errors are ordered by line");
  const std::variant<applied_note, line_errors> applied =
      ParseAndApplyNote({}, text);
  if (const line_errors* errors = std::get_if<line_errors>(&applied)) {
    Require(!errors->empty(), "a refused note has errors");
    Require(IsOrdered(*errors), "errors are ordered by line");
    return 0;
  }
  Require(parsed.errors.empty(), "a faulty note is not applied");
  CheckParts(std::get<applied_note>(applied).contents);
  return 0;
}

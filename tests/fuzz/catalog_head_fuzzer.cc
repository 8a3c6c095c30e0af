#include "libraries/catalog/version_record.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

void CheckHead(std::string_view bytes) {
  const result<catalog_head> head = DecodeHead(bytes);
  if (!IsOk(head)) {
    return;
  }
  const result<catalog_head> again = DecodeHead(EncodeHead(ValueOf(head)));
  Require(IsOk(again) && ValueOf(again) == ValueOf(head),
          "a head keeps its contents");
}

void CheckNoteRecord(std::string_view bytes) {
  const result<note_record> record = DecodeNoteRecord(bytes);
  if (!IsOk(record)) {
    return;
  }
  const result<note_record> again =
      DecodeNoteRecord(EncodeNoteRecord(ValueOf(record)));
  Require(IsOk(again) && ValueOf(again) == ValueOf(record),
          "a note record keeps its contents");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes = FuzzText(data, size);
  CheckHead(bytes);
  CheckNoteRecord(bytes);
  return 0;
}

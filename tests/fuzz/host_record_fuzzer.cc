#include "libraries/peer_protocol/record_codec.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  const result<host_record> record = DecodeRecordBytes(FuzzText(data, size));
  if (!IsOk(record)) {
    return 0;
  }
  const result<host_record> again =
      DecodeRecordBytes(EncodeRecordBytes(ValueOf(record)));
  Require(IsOk(again) && ValueOf(again) == ValueOf(record),
          "a host record keeps its contents");
  return 0;
}

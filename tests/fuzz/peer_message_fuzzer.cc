#include "libraries/peer_protocol/message_codec.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  const result<peer_message> message = DecodeMessage(FuzzText(data, size));
  if (!IsOk(message)) {
    return 0;
  }
  const result<peer_message> again =
      DecodeMessage(EncodeMessage(ValueOf(message)));
  Require(IsOk(again), "a decoded message encodes to a valid one");
  Require(ValueOf(again) == ValueOf(message), "a message keeps its contents");
  return 0;
}

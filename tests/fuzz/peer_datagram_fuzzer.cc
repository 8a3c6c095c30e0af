#include "libraries/peers/peer_datagram.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  const result<peer_datagram> message =
      DecodePeerDatagram(FuzzText(data, size));
  if (IsOk(message)) {
    const result<peer_datagram> again =
        DecodePeerDatagram(EncodePeerDatagram(ValueOf(message)));
    Require(IsOk(again) && ValueOf(again) == ValueOf(message),
            "a message survives its encoding");
  }
  return 0;
}

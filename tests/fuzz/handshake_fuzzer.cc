#include <string>

#include "libraries/peer_protocol/handshake.h"
#include "libraries/peer_protocol/message_fields.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

const peer_keys& Keys() {
  static const peer_keys keys{"fuzz-shared-key", "fuzz-previous-key"};
  return keys;
}

void CheckServer(std::string_view hello, std::string_view proof) {
  handshake_server server(Keys(), "host-b", std::string(kNonceBytes, 'b'));
  if (!IsOk(server.OnHello(hello))) {
    return;
  }
  Require(IsIdentifier(server.peer_id()), "a known peer has a valid id");
  (void)server.OnProof(proof);
}

void CheckClient(std::string_view challenge) {
  handshake_client client(Keys(), "host-a", std::string(kNonceBytes, 'a'));
  if (IsOk(client.OnChallenge(challenge))) {
    Require(IsIdentifier(client.peer_id()), "a known peer has a valid id");
  }
}

// A server without the key accepts nobody: the input cannot hold a proof made
// with it.
void CheckForeignServer(std::string_view hello, std::string_view proof) {
  handshake_server server({"another-key", std::nullopt}, "host-b",
                          std::string(kNonceBytes, 'b'));
  if (IsOk(server.OnHello(hello))) {
    Require(!IsOk(server.OnProof(proof)), "a forged proof is refused");
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  frame_splitter frames(FuzzText(data, size));
  const std::string_view first =
      frames.HasMore() ? frames.Next() : std::string_view();
  const std::string_view second =
      frames.HasMore() ? frames.Next() : std::string_view();
  CheckServer(first, second);
  CheckClient(first);
  CheckForeignServer(first, second);
  return 0;
}

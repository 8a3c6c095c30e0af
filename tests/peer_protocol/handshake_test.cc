#include "libraries/peer_protocol/handshake.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

std::string Nonce() {
  return ValueOf(MakeNonce());
}

// Runs a whole handshake and returns the verdict of the accepting side, or the
// error that ended it earlier.
status Shake(const peer_keys& client_keys, const peer_keys& server_keys) {
  handshake_client client(client_keys, "one", Nonce());
  handshake_server server(server_keys, "two", Nonce());
  const result<std::string> challenge = server.OnHello(client.Hello());
  if (!IsOk(challenge)) {
    return ErrorOf(challenge);
  }
  const result<std::string> proof = client.OnChallenge(ValueOf(challenge));
  if (!IsOk(proof)) {
    return ErrorOf(proof);
  }
  EXPECT_EQ(client.peer_id(), "two");
  EXPECT_EQ(server.peer_id(), "one");
  return server.OnProof(ValueOf(proof));
}

// Guards against a rotation of the key that splits the fleet on its way.
TEST(HandshakeTest, CurrentAndPreviousKeysAreAccepted) {
  EXPECT_TRUE(IsOk(Shake({"old", {}}, {"old", {}})));
  EXPECT_TRUE(IsOk(Shake({"old", {}}, {"old", "new"})));
  EXPECT_TRUE(IsOk(Shake({"old", "new"}, {"new", "old"})));
  EXPECT_TRUE(IsOk(Shake({"new", "old"}, {"old", "new"})));
  EXPECT_TRUE(IsOk(Shake({"new", {}}, {"new", "old"})));
}

// Guards against a stranger that is taken for a host.
TEST(HandshakeTest, StrangersAreRefused) {
  EXPECT_EQ(ErrorOf(Shake({"other", {}}, {"key", {}})).code,
            error_code::kPermissionDenied);
}

// Guards against a stranger that names the right key without knowing it.
TEST(HandshakeTest, ProofOfAnotherKeyIsRefused) {
  handshake_client client({"key", {}}, "one", Nonce());
  handshake_server server({"key", {}}, "two", Nonce());
  handshake_server other({"key", {}}, "two", Nonce());
  ASSERT_TRUE(IsOk(server.OnHello(client.Hello())));
  const result<std::string> challenge = other.OnHello(client.Hello());
  const result<std::string> proof = client.OnChallenge(ValueOf(challenge));
  EXPECT_FALSE(IsOk(server.OnProof(ValueOf(proof))));
}

// Guards against a recorded handshake that opens a connection once more, in
// either role.
TEST(HandshakeTest, ReplaysProveNothing) {
  const peer_keys keys{"key", {}};
  handshake_client client(keys, "one", Nonce());
  handshake_server server(keys, "two", Nonce());
  const std::string hello = client.Hello();
  const std::string challenge = ValueOf(server.OnHello(hello));
  const std::string proof = ValueOf(client.OnChallenge(challenge));
  ASSERT_TRUE(IsOk(server.OnProof(proof)));
  handshake_server next_server(keys, "two", Nonce());
  ASSERT_TRUE(IsOk(next_server.OnHello(hello)));
  EXPECT_FALSE(IsOk(next_server.OnProof(proof)));
  handshake_client next_client(keys, "one", Nonce());
  EXPECT_FALSE(IsOk(next_client.OnChallenge(challenge)));
}

// Guards against malformed and oversized frames from anyone who can connect.
TEST(HandshakeTest, MalformedFramesAreRefused) {
  handshake_server server({"key", {}}, "two", Nonce());
  EXPECT_FALSE(IsOk(server.OnHello("")));
  EXPECT_FALSE(IsOk(server.OnHello(std::string(100, '\x81'))));
  EXPECT_FALSE(
      IsOk(server.OnHello(std::string(kMaxHandshakeFrameBytes + 1, '\xa0'))));
  // A short random number could repeat.
  handshake_client short_nonce({"key", {}}, "one", "abc");
  EXPECT_FALSE(IsOk(server.OnHello(short_nonce.Hello())));
}

}  // namespace
}  // namespace bulrushshore

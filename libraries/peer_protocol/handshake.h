#ifndef LIBRARIES_PEER_PROTOCOL_HANDSHAKE_H_
#define LIBRARIES_PEER_PROTOCOL_HANDSHAKE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/result.h"

namespace bulrushshore {

inline constexpr std::size_t kMaxHandshakeFrameBytes = 1024;
inline constexpr std::size_t kNonceBytes = 32;

// The keys that hosts share. A key is replaced without an interruption by
// adding the new one as `previous` on every host, then exchanging the two on
// every host, then removing the old one.
struct peer_keys {
  std::string current;
  std::optional<std::string> previous;
};

// Returns kNonceBytes unpredictable bytes; kUnavailable if the system has
// none. Thread safe.
result<std::string> MakeNonce();

// The side that opened the connection. Proves that it knows a shared key, and
// learns that the other side does, by HMAC-SHA256 over fresh random numbers of
// both sides, so that a recorded handshake proves nothing. Not thread safe.
class handshake_client {
 public:
  // Precondition: `nonce` comes from MakeNonce() and is used once.
  handshake_client(peer_keys keys, std::string self_id, std::string nonce);

  // Returns the first frame.
  std::string Hello() const;

  // Takes the answer to it and returns the frame that completes the handshake.
  // kPermissionDenied if the other side does not know the key.
  result<std::string> OnChallenge(std::string_view frame);

  // Returns the host id of the other side; empty before OnChallenge().
  const std::string& peer_id() const { return peer_id_; }

 private:
  const peer_keys keys_;
  const std::string self_id_;
  const std::string nonce_;
  std::string peer_id_;
};

// The side that accepted the connection. Not thread safe.
class handshake_server {
 public:
  // As for handshake_client.
  handshake_server(peer_keys keys, std::string self_id, std::string nonce);

  // Takes the first frame and returns the answer. kPermissionDenied if no key
  // is known to both sides.
  result<std::string> OnHello(std::string_view frame);

  // Takes the last frame. kPermissionDenied if the other side does not know
  // the key. Precondition: OnHello() succeeded.
  status OnProof(std::string_view frame);

  // Returns the host id that the other side gave; to be trusted only after
  // OnProof().
  const std::string& peer_id() const { return peer_id_; }

 private:
  const peer_keys keys_;
  const std::string self_id_;
  const std::string nonce_;
  std::string peer_id_;
  std::string expected_proof_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_HANDSHAKE_H_

#ifndef LIBRARIES_PEERS_PEER_MESSAGE_H_
#define LIBRARIES_PEERS_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "libraries/base/result.h"
#include "libraries/peers/host_directory.h"
#include "libraries/placement/evidence_board.h"

namespace bulrushshore {

struct ping_message {
  std::uint64_t nonce = 0;
  // The sender believes that the receiver was lost.
  bool is_believed_lost = false;

  bool operator==(const ping_message&) const = default;
};

struct pong_message {
  std::uint64_t nonce = 0;

  bool operator==(const pong_message&) const = default;
};

// The sender has started, or was believed lost.
struct hello_message {
  host_entry host;

  bool operator==(const hello_message&) const = default;
};

// The sender takes no further callers.
struct leaving_message {
  bool operator==(const leaving_message&) const = default;
};

struct host_lost_message {
  std::string host_id;

  bool operator==(const host_lost_message&) const = default;
};

struct observation_message {
  std::string target_id;
  std::int64_t started_at_unix_ms = 0;
  target_observation observation = target_observation::kFailure;

  bool operator==(const observation_message&) const = default;
};

// A target was lost while it ran a request.
struct target_lost_message {
  std::uint64_t fingerprint = 0;
  std::string target_id;

  bool operator==(const target_lost_message&) const = default;
};

// What the first serving host of a zone knows. The others of the zone compare
// it with their own view to notice that their reading of the store is stuck.
struct view_message {
  std::uint64_t rules_version = 0;
  std::uint64_t targets_digest = 0;

  bool operator==(const view_message&) const = default;
};

using peer_body = std::variant<ping_message,
                               pong_message,
                               hello_message,
                               leaving_message,
                               host_lost_message,
                               observation_message,
                               target_lost_message,
                               view_message>;

// One datagram between hosts.
struct peer_message {
  std::string sender_id;
  peer_body body;

  bool operator==(const peer_message&) const = default;
};

// Returns the CBOR form: an array of the sender, the type's number and the
// fields in the order of their declaration. Thread safe.
std::string EncodePeerMessage(const peer_message& message);

// Parses a datagram; kInvalidArgument for anything that EncodePeerMessage()
// does not make. Thread safe.
result<peer_message> DecodePeerMessage(std::string_view bytes);

}  // namespace bulrushshore

#endif  // LIBRARIES_PEERS_PEER_MESSAGE_H_

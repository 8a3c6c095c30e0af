#ifndef LIBRARIES_PEERS_PEER_DATAGRAM_H_
#define LIBRARIES_PEERS_PEER_DATAGRAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/peers/host_registry.h"
#include "libraries/placement/evidence_board.h"

namespace bulrushshore {

struct ping_body {
  std::uint64_t nonce = 0;
  // The sender believes that the receiver was lost.
  bool is_believed_lost = false;

  bool operator==(const ping_body&) const = default;
};

struct pong_body {
  std::uint64_t nonce = 0;

  bool operator==(const pong_body&) const = default;
};

// The sender has started, or was believed lost.
struct hello_body {
  host_entry host;

  bool operator==(const hello_body&) const = default;
};

// The sender takes no further callers.
struct leaving_body {
  bool operator==(const leaving_body&) const = default;
};

struct host_lost_body {
  std::string host_id;

  bool operator==(const host_lost_body&) const = default;
};

struct observation_report {
  std::string target_id;
  std::int64_t started_at_unix_ms = 0;
  target_observation observation = target_observation::kFailure;

  bool operator==(const observation_report&) const = default;
};

// A target was lost while it ran a request.
struct target_loss_report {
  std::uint64_t fingerprint = 0;
  std::string target_id;

  bool operator==(const target_loss_report&) const = default;
};

// What the first serving host of a zone knows. The others of the zone compare
// it with their own view to notice that their reading of the store is stuck.
struct host_view {
  std::uint64_t rules_version = 0;
  std::uint64_t targets_digest = 0;

  bool operator==(const host_view&) const = default;
};

struct target_suspicion {
  std::string target_id;
  std::int64_t started_at_unix_ms = 0;
  // In thousandths, so that the datagram has no fractions.
  std::uint64_t thousandths = 0;

  bool operator==(const target_suspicion&) const = default;
};

// The targets that the sender suspects most. Hosts that take few requests hear
// no single reports.
struct suspicion_summary {
  std::vector<target_suspicion> targets;

  bool operator==(const suspicion_summary&) const = default;
};

using peer_body = std::variant<ping_body,
                               pong_body,
                               hello_body,
                               leaving_body,
                               host_lost_body,
                               observation_report,
                               target_loss_report,
                               host_view,
                               suspicion_summary>;

// One datagram between hosts.
struct peer_datagram {
  std::string sender_id;
  peer_body body;
  // The sender can serve callers.
  bool is_sender_ready = true;

  bool operator==(const peer_datagram&) const = default;
};

// Returns the CBOR form: an array of the sender, the type's number, whether the
// sender is ready, and the fields in the order of their declaration. Thread
// safe.
std::string EncodePeerDatagram(const peer_datagram& message);

// Parses a datagram; kInvalidArgument for anything that EncodePeerDatagram()
// does not make. Thread safe.
result<peer_datagram> DecodePeerDatagram(std::string_view bytes);

}  // namespace bulrushshore

#endif  // LIBRARIES_PEERS_PEER_DATAGRAM_H_

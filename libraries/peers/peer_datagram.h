#ifndef LIBRARIES_PEERS_PEER_DATAGRAM_H_
#define LIBRARIES_PEERS_PEER_DATAGRAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/peers/host_registry.h"
#include "libraries/placement/suspicion_tracker.h"

namespace bulrushshore {

// Requests a pong with the same nonce.
struct ping_body {
  std::uint64_t nonce = 0;
  // The sender does not know the receiver or has marked it as lost, so the
  // receiver should announce itself.
  bool is_believed_lost = false;

  bool operator==(const ping_body&) const = default;
};

// The response to a ping.
struct pong_body {
  std::uint64_t nonce = 0;

  bool operator==(const pong_body&) const = default;
};

// Announces the sender: it has started, or another host did not know it or had
// marked it as lost.
struct hello_body {
  host_entry host;

  bool operator==(const hello_body&) const = default;
};

// The sender takes no further callers.
struct leaving_body {
  bool operator==(const leaving_body&) const = default;
};

// The sender has detected that a host is lost.
struct host_lost_body {
  std::string host_id;

  bool operator==(const host_lost_body&) const = default;
};

// What a request of the sender showed about a target.
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
  // Whether the request is certainly the reason. Not encoded if true, so that
  // hosts of earlier versions read the report.
  bool is_certain = true;

  bool operator==(const target_loss_report&) const = default;
};

// The versions of the data that the sender has, and how old each may be. Other
// hosts of the zone that have the same versions need not read the store to know
// that theirs are current.
struct host_view {
  // Age of a part that is not known to be current as of any time. Hosts of
  // earlier versions send no ages.
  static constexpr std::uint64_t kUnknownAge = ~std::uint64_t{0};

  std::uint64_t rules_version = 0;
  std::uint64_t targets_digest = 0;
  // Time since the store had this version for certain, in milliseconds.
  std::uint64_t rules_age_ms = kUnknownAge;
  std::uint64_t targets_age_ms = kUnknownAge;

  bool operator==(const host_view&) const = default;
};

struct target_suspicion {
  std::string target_id;
  std::int64_t started_at_unix_ms = 0;
  // The suspicion in thousandths, so that the datagram needs no floating-point
  // numbers.
  std::uint64_t thousandths = 0;

  bool operator==(const target_suspicion&) const = default;
};

// The targets that the sender suspects most, for hosts that do not serve and so
// receive no observation reports.
struct suspicion_summary {
  std::vector<target_suspicion> targets;

  bool operator==(const suspicion_summary&) const = default;
};

// A target has announced in a response to the sender that it is leaving.
struct target_leaving_report {
  std::string target_id;
  std::int64_t started_at_unix_ms = 0;

  bool operator==(const target_leaving_report&) const = default;
};

using peer_body = std::variant<ping_body,
                               pong_body,
                               hello_body,
                               leaving_body,
                               host_lost_body,
                               observation_report,
                               target_loss_report,
                               host_view,
                               suspicion_summary,
                               target_leaving_report>;

// A datagram between hosts.
struct peer_datagram {
  std::string sender_id;
  peer_body body;
  // The sender can serve callers.
  bool is_sender_ready = true;

  bool operator==(const peer_datagram&) const = default;
};

// Returns the datagram as a CBOR array: the sender's id, the index of the
// body's type in `peer_body`, whether the sender is ready, and the fields of
// the body in the order of their declaration. Thread safe.
std::string EncodePeerDatagram(const peer_datagram& message);

// Parses a datagram. Returns kInvalidArgument if the bytes do not have the form
// that EncodePeerDatagram() writes. Thread safe.
result<peer_datagram> DecodePeerDatagram(std::string_view bytes);

}  // namespace bulrushshore

#endif  // LIBRARIES_PEERS_PEER_DATAGRAM_H_

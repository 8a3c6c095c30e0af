#ifndef LIBRARIES_PEER_PROTOCOL_MESSAGES_H_
#define LIBRARIES_PEER_PROTOCOL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libraries/peer_protocol/host_record.h"

namespace bulrushshore {

inline constexpr std::uint64_t kPeerProtocolVersion = 1;
inline constexpr std::size_t kMaxFrameBytes = 1'048'576;
inline constexpr std::size_t kMaxRecordsPerMessage = 1'000;
inline constexpr std::size_t kMaxSummariesPerMessage = 4'000;
inline constexpr std::size_t kMaxTargetsPerReport = 8;
inline constexpr std::size_t kMaxInheritedIncarnations = 32;
inline constexpr std::size_t kMaxSliceBytes = 65'536;
inline constexpr std::size_t kMaxHandoverBytes = 50'331'648;

// The parts of a host record that change often and only grow within one
// incarnation. They travel apart from the record, because a new catalog
// version changes them on every host at once.
struct host_counters {
  std::string id;
  std::string incarnation;
  std::uint64_t key_generation = 0;
  std::uint64_t catalog_version = 0;

  bool operator==(const host_counters&) const = default;
};

// Identifies the state of one record without its contents.
struct record_summary {
  std::string id;
  std::string incarnation;
  std::uint64_t sequence = 0;
  host_state state = host_state::kLive;

  bool operator==(const record_summary&) const = default;
};

// One half of a gossip exchange.
struct digest_message {
  // Hash of the sender's view after it merged what it had received.
  std::uint64_t view_hash = 0;
  std::uint64_t catalog_version = 0;
  // The sender's own record and records that changed recently.
  std::vector<host_record> records;
  std::vector<host_counters> counters;
  // True if `summaries` lists the whole view; asks the receiver to answer with
  // every record that is newer in its view.
  bool has_summaries = false;
  std::vector<record_summary> summaries;

  bool operator==(const digest_message&) const = default;
};

struct digest_reply_message {
  std::uint64_t view_hash = 0;
  std::uint64_t catalog_version = 0;
  std::vector<host_record> records;
  std::vector<host_counters> counters;
  // Ids of records of which the receiver of the summaries has an older state.
  std::vector<std::string> wanted_ids;

  bool operator==(const digest_reply_message&) const = default;
};

struct ping_message {
  bool operator==(const ping_message&) const = default;
};

struct ping_reply_message {
  bool operator==(const ping_reply_message&) const = default;
};

// Asks the receiver to ping a host that does not answer the sender.
struct suspect_check_message {
  std::string id;
  endpoint peer_address;

  bool operator==(const suspect_check_message&) const = default;
};

struct suspect_check_reply_message {
  std::string id;
  bool is_reachable = false;

  bool operator==(const suspect_check_reply_message&) const = default;
};

// Asks for a slice of a catalog part, or of the head if `digest` is empty.
struct parts_request_message {
  std::string digest;
  std::uint64_t offset = 0;
  // Asks for the version in force only; the reply carries no bytes.
  bool is_version_query = false;

  bool operator==(const parts_request_message&) const = default;
};

struct parts_reply_message {
  std::string digest;
  // False if the sender does not hold the part; the other fields are unset.
  bool is_found = false;
  // Catalog version of the sender.
  std::uint64_t version = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t offset = 0;
  std::string bytes;

  bool operator==(const parts_reply_message&) const = default;
};

// One slice of the sealed key table of a host that shuts down.
struct handover_message {
  // Incarnation of the sender.
  std::string incarnation;
  // Incarnations whose keys the sender had inherited itself.
  std::vector<std::string> inherited_incarnations;
  // Incarnation of the successor. Another process at its address must not take
  // the table, because the successor may have run keys that are not in it.
  std::string successor;
  std::uint64_t total_bytes = 0;
  std::uint64_t offset = 0;
  std::string bytes;

  bool operator==(const handover_message&) const = default;
};

struct handover_ack_message {
  std::string incarnation;
  // False if the receiver refuses the table.
  bool is_accepted = false;
  // Number of bytes that the receiver holds now.
  std::uint64_t received_bytes = 0;
  // True once the receiver answers for the incarnation.
  bool is_complete = false;

  bool operator==(const handover_ack_message&) const = default;
};

// Tells that a request was lost together with the targets that ran it, so that
// its caller cannot try it on further targets through other hosts.
struct crash_report_message {
  std::string service;
  // Hash of the request's method, path and body.
  std::uint64_t fingerprint = 0;
  // Names of the targets that closed the connection while they ran it.
  std::vector<std::string> targets;

  bool operator==(const crash_report_message&) const = default;
};

struct crash_report_ack_message {
  bool operator==(const crash_report_ack_message&) const = default;
};

// The alternatives' order gives the message kind, see message_codec.cc.
using peer_body = std::variant<ping_message,
                               ping_reply_message,
                               digest_message,
                               digest_reply_message,
                               suspect_check_message,
                               suspect_check_reply_message,
                               parts_request_message,
                               parts_reply_message,
                               handover_message,
                               handover_ack_message,
                               crash_report_message,
                               crash_report_ack_message>;

struct peer_message {
  // Correlation id; a reply carries that of its request.
  std::uint64_t id = 0;
  // Host id of the sender.
  std::string from;
  peer_body body;

  bool operator==(const peer_message&) const = default;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_MESSAGES_H_

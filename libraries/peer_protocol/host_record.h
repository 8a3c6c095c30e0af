#ifndef LIBRARIES_PEER_PROTOCOL_HOST_RECORD_H_
#define LIBRARIES_PEER_PROTOCOL_HOST_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/endpoint.h"

namespace bulrushshore {

enum class host_state {
  kLive,
  // Shuts down gracefully: takes no new callers, serves late ones.
  kLeaving,
  // Silent for a while; confirmation through other hosts is under way.
  kSuspected,
  kLost,
};

// Returns the stable lower-case name of `state`. Thread safe.
std::string_view HostStateName(host_state state);

// One process run of the daemon on a host, as membership knows it.
struct host_record {
  std::string id;
  std::string zone;
  endpoint caller_address;
  endpoint peer_address;
  // Random number drawn at process start, 16 hexadecimal digits.
  std::string incarnation;
  // Counts 60 s steps since process start; part of idempotency keys.
  std::uint64_t key_generation = 0;
  // Incarnations of stopped processes whose keys this host answers for.
  std::vector<std::string> inherited_incarnations;
  // Grows with every change that the host itself makes to its record, except
  // for changes of key_generation and catalog_version, which only grow.
  std::uint64_t sequence = 0;
  host_state state = host_state::kLive;
  std::uint64_t catalog_version = 0;
  // The host judges that it, rather than its targets, may be at fault.
  bool is_self_suspect = false;

  bool operator==(const host_record&) const = default;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_HOST_RECORD_H_

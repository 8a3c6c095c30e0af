#ifndef LIBRARIES_MEMBERSHIP_HOST_DIRECTORY_H_
#define LIBRARIES_MEMBERSHIP_HOST_DIRECTORY_H_

#include <cstdint>
#include <optional>
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
  // Grows with every change that the host itself makes to its record.
  std::uint64_t sequence = 0;
  host_state state = host_state::kLive;
  std::uint64_t catalog_version = 0;

  bool operator==(const host_record&) const = default;
};

// Read access to the membership view of this host.
class host_directory {
 public:
  virtual ~host_directory() = default;

  // Returns the record of this host. Thread safe.
  virtual host_record Self() const = 0;

  // Returns all known hosts, this one included, ordered by id. Thread safe.
  virtual std::vector<host_record> Hosts() const = 0;

  // Returns the host that answers for keys of `incarnation`: the process
  // itself or the one that inherited its keys. Thread safe.
  virtual std::optional<host_record> FindKeyOwner(
      std::string_view incarnation) const = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_HOST_DIRECTORY_H_

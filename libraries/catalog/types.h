#ifndef LIBRARIES_CATALOG_TYPES_H_
#define LIBRARIES_CATALOG_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "libraries/base/endpoint.h"
#include "libraries/catalog/organisation_table.h"

namespace bulrushshore {

// A service and the rules that the fleet keeps for it.
struct service {
  std::string name;
  // Share of the registered targets that ejection always leaves in use.
  std::uint32_t floor_percent = 70;
  // Upper bound of a request's deadline.
  std::chrono::milliseconds timeout{2000};
  // Number of requests that one host holds in its queue for this service.
  std::uint32_t queue_limit = 200;
  // Longest time that a request waits in the queue.
  std::chrono::milliseconds patience{500};
  std::uint64_t max_body_bytes = 1'048'576;

  bool operator==(const service&) const = default;
};

enum class target_state { kActive, kDraining };

// A back-end process that serves one service.
struct target {
  std::string service;
  std::string name;
  endpoint address;
  std::string zone;
  // Number of requests that the target runs at the same time.
  std::uint32_t slots = 6;
  // Connections that the target accepts from all hosts together.
  std::uint32_t max_connections = 450;
  target_state state = target_state::kActive;

  bool operator==(const target&) const = default;
};

// Maps requests to a service and states what kind of work they are.
struct route {
  std::string name;
  std::string service;
  // Matches the path itself and everything below it; starts with '/'.
  std::string path_prefix;
  // Value of the Host header without the port; empty matches every value.
  std::string host_name;
  // Durations are compared only between requests of the same kind.
  std::string kind;
  bool is_idempotent = false;
  // Refuses non-idempotent requests that carry no idempotency key.
  bool is_key_required = true;

  bool operator==(const route&) const = default;
};

// Everything that release notes define. Keys: services and routes by name,
// targets by "service/target".
struct catalog_contents {
  std::map<std::string, service> services;
  std::map<std::string, target> targets;
  std::map<std::string, route> routes;
  organisation_table organisations;

  bool operator==(const catalog_contents&) const = default;
};

// An accepted configuration. Version 0 is the empty one before the first note.
struct catalog_snapshot {
  std::uint64_t version = 0;
  std::string note_id;
  catalog_contents contents;

  bool operator==(const catalog_snapshot&) const = default;
};

// Gives access to the configuration in force on this host.
class snapshot_source {
 public:
  virtual ~snapshot_source() = default;

  // Returns the snapshot in force; never null. Thread safe.
  virtual std::shared_ptr<const catalog_snapshot> Current() const = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_TYPES_H_

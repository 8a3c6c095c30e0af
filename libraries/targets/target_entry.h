#ifndef LIBRARIES_TARGETS_TARGET_ENTRY_H_
#define LIBRARIES_TARGETS_TARGET_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "libraries/base/endpoint.h"

namespace bulrushshore {

// One target's record in the platform's target list, written by the target
// itself.
struct target_entry {
  // Unique among the current targets. A target may reuse its id after a
  // restart.
  std::string id;
  std::string service;
  endpoint address;
  std::string zone;
  // Number of requests that the target processes concurrently.
  std::uint32_t slots = 1;
  bool is_draining = false;
  // Remaining time during which the target is slow because it has just started.
  std::chrono::milliseconds warm_up_left{0};
  // Start time of this incarnation in milliseconds since 1970; 0 if unknown. An
  // incarnation is one run of the target, from its start to its exit.
  std::int64_t started_at_unix_ms = 0;
  // Increases with each update that this incarnation writes.
  std::int64_t sequence = 0;

  bool operator==(const target_entry&) const = default;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TARGETS_TARGET_ENTRY_H_

#ifndef LIBRARIES_TARGETS_TARGET_ENTRY_H_
#define LIBRARIES_TARGETS_TARGET_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "libraries/base/endpoint.h"

namespace bulrushshore {

// What a target says of itself in the list of targets.
struct target_entry {
  // Names one target; a restarted one may come back under the same id.
  std::string id;
  std::string service;
  endpoint address;
  std::string zone;
  // Requests that the target runs at the same time.
  std::uint32_t slots = 1;
  bool is_draining = false;
  // Time for which the target stays slow after its start.
  std::chrono::milliseconds warm_up_left{0};
  // Start of this incarnation in milliseconds since 1970; 0 if not stated.
  std::int64_t started_at_unix_ms = 0;
  // Counts the statements of one incarnation.
  std::int64_t sequence = 0;

  bool operator==(const target_entry&) const = default;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TARGETS_TARGET_ENTRY_H_

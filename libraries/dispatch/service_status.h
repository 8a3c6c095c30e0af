#ifndef LIBRARIES_DISPATCH_SERVICE_STATUS_H_
#define LIBRARIES_DISPATCH_SERVICE_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/admission/crash_guard.h"
#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/health/health_types.h"

namespace bulrushshore {

// One target as this host sees it.
struct target_status {
  std::string name;
  endpoint address;
  std::string zone;
  health_state state = health_state::kHealthy;
  health_reason reason = health_reason::kNone;
  // Time that the target has been in this state.
  duration age{};
  // Share of the usual traffic.
  double weight = 1.0;
  std::uint32_t slots = 0;
  // Requests of this host that the target runs.
  std::uint32_t in_flight = 0;
  // Requests of this host that the target may run at the same time.
  double concurrency_limit = 0.0;
  std::uint32_t reported_load = 0;
};

struct service_status {
  std::string service;
  std::vector<target_status> targets;
  std::uint32_t healthy_slots = 0;
  std::uint32_t floor_slots = 0;
  std::uint32_t slots_in_use = 0;
  std::size_t queue_length = 0;
  bool is_self_suspect = false;
  // Requests held back because they crash targets; times are relative to
  // `now`.
  std::vector<held_fingerprint> held_fingerprints;
  // The newest health events, oldest first.
  std::vector<health_event> recent_events;
  time_point now;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_DISPATCH_SERVICE_STATUS_H_

#ifndef LIBRARIES_HEALTH_HEALTH_TYPES_H_
#define LIBRARIES_HEALTH_HEALTH_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/clock.h"

namespace bulrushshore {

// What one attempt says about its target.
enum class evidence_type {
  kSuccess,
  kFailure,
  // A failure unless the deadline was too short to blame the target.
  kTimeout,
  // The connection closed in the middle of the work; a crash closes all
  // connections at once and counts as one failure.
  kConnectionLost,
  // Says nothing about the target: a stale pooled connection, a cancelled
  // request or a request that the target shed.
  kNeutral,
};

struct evidence {
  evidence_type type = evidence_type::kSuccess;
  // Durations and failures are compared only within the same kind of work.
  std::string_view kind;
  duration elapsed{};
  bool is_trial = false;
};

enum class health_state {
  kHealthy,
  // Looks unhealthy, but is needed to keep the floor.
  kReducedWeight,
  kEjected,
  // The ejection time is over; single trial requests decide.
  kTrial,
  // Readmitted or new; gets a growing share of the usual traffic.
  kSlowStart,
  kDraining,
};

// Returns the stable lower-case name of `state`. Thread safe.
std::string_view HealthStateName(health_state state);

enum class health_reason {
  kNone,
  kFailures,
  kSlowness,
  kTrialFailed,
  kTrialsSucceeded,
  // The target is needed because other targets are out of use.
  kFloor,
  kEvidenceCleared,
  kNewTarget,
  kDraining,
  kMostTargetsUnhealthy,
};

// Returns the stable lower-case name of `reason`. Thread safe.
std::string_view HealthReasonName(health_reason reason);

enum class health_event_type {
  kEjected,
  // An ejection candidate that stays in use with reduced weight.
  kKeptForFloor,
  kTrialStarted,
  kReadmitted,
  // The target has its full share of traffic again.
  kRestored,
  kHostSuspected,
  kHostCleared,
};

// Returns the stable lower-case name of `type`. Thread safe.
std::string_view HealthEventTypeName(health_event_type type);

// The figures that a decision rests on.
struct health_evidence {
  // Log-likelihood ratios; the ejection threshold is in the options.
  double failure_score = 0.0;
  double slowness_score = 0.0;
  // Recent attempts, weighted by age.
  double samples = 0.0;
  double failure_share = 0.0;
  double peer_failure_share = 0.0;
  std::uint32_t slots_in_use = 0;
  std::uint32_t floor_slots = 0;
};

struct health_event {
  health_event_type type = health_event_type::kEjected;
  // Empty for events about the host itself.
  std::string target;
  health_reason reason = health_reason::kNone;
  time_point time;
  // Time until the next trial; zero for other events than kEjected.
  duration ejection_time{};
  health_evidence figures;
};

struct health_options {
  // The switches serve the comparison of policies.
  bool is_ejection_enabled = true;
  bool is_self_suspicion_enabled = true;
  // Score at which a target is ejected: the natural logarithm of how much more
  // likely the evidence is under a fault than without one.
  double ejection_score = 13.8;
  // A request is slow if it takes longer than this multiple of the median of
  // the other targets for the same kind, and at least `slow_margin` longer.
  double slow_ratio = 3.0;
  duration slow_margin = std::chrono::milliseconds(5);
  // Outcomes are forgotten with this time constant.
  duration evidence_time_constant = std::chrono::seconds(10);
  duration first_ejection_time = std::chrono::seconds(5);
  duration maximum_ejection_time = std::chrono::seconds(300);
  // One doubling is taken back for each such time in healthy use.
  duration ejection_decay_time = std::chrono::seconds(60);
  std::uint32_t trials_to_readmit = 5;
  duration slow_start_time = std::chrono::seconds(10);
  double slow_start_weight = 0.1;
  double reduced_weight = 0.2;
  // Connections lost within this time of each other count as one failure.
  duration crash_window = std::chrono::milliseconds(200);
  // A failed probe counts as this share of a failed request.
  double probe_weight = 0.25;
  // Self-suspicion lasts at least this long.
  duration suspicion_time = std::chrono::seconds(5);
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HEALTH_HEALTH_TYPES_H_

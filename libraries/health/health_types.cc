#include "libraries/health/health_types.h"

namespace bulrushshore {

std::string_view HealthStateName(health_state state) {
  switch (state) {
    case health_state::kHealthy:
      return "healthy";
    case health_state::kReducedWeight:
      return "reduced_weight";
    case health_state::kEjected:
      return "ejected";
    case health_state::kTrial:
      return "trial";
    case health_state::kSlowStart:
      return "slow_start";
    case health_state::kDraining:
      return "draining";
  }
  return "unknown";
}

std::string_view HealthReasonName(health_reason reason) {
  switch (reason) {
    case health_reason::kNone:
      return "none";
    case health_reason::kFailures:
      return "failures";
    case health_reason::kSlowness:
      return "slowness";
    case health_reason::kTrialFailed:
      return "trial_failed";
    case health_reason::kTrialsSucceeded:
      return "trials_succeeded";
    case health_reason::kFloor:
      return "floor";
    case health_reason::kEvidenceCleared:
      return "evidence_cleared";
    case health_reason::kNewTarget:
      return "new_target";
    case health_reason::kDraining:
      return "draining";
    case health_reason::kMostTargetsUnhealthy:
      return "most_targets_unhealthy";
  }
  return "unknown";
}

std::string_view HealthEventTypeName(health_event_type type) {
  switch (type) {
    case health_event_type::kEjected:
      return "target_ejected";
    case health_event_type::kKeptForFloor:
      return "target_kept_for_floor";
    case health_event_type::kTrialStarted:
      return "target_trial_started";
    case health_event_type::kReadmitted:
      return "target_readmitted";
    case health_event_type::kRestored:
      return "target_restored";
    case health_event_type::kHostSuspected:
      return "host_suspected";
    case health_event_type::kHostCleared:
      return "host_cleared";
  }
  return "unknown";
}

}  // namespace bulrushshore

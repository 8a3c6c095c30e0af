// The decisions of outlier_detector: ejection within the floor, trials,
// readmission and self-suspicion.

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/health/outlier_detector.h"

namespace bulrushshore {
namespace {

// A target whose score exceeds this share of the ejection score looks
// unhealthy for the judgement about the host itself.
constexpr double kUnhealthyScoreRatio = 0.5;
constexpr double kUnhealthyFailureShare = 0.4;
constexpr double kMinimumRecentSamples = 3.0;
// A kept target gets its full weight back below this share of the score.
constexpr double kRestoredScoreRatio = 0.25;
// A readmitted target starts with this share of the score, because a target
// that failed a short time ago is more likely to fail again.
constexpr double kReadmittedScoreRatio = 0.3;
// An ejected target makes room for a worse one only if that one is clearly
// worse; otherwise two similar targets would take turns.
constexpr double kSwapSeverityRatio = 2.0;
constexpr double kSlownessSeverity = 0.25;
// This many failures without any success between them are a total failure of
// the targets involved.
constexpr std::uint32_t kTotalFailureCount = 6;
constexpr std::uint32_t kMinimumUnhealthyTargets = 2;
constexpr std::uint32_t kMaximumDoublings = 16;

}  // namespace

bool outlier_detector::IsCandidate(const record& value) const {
  if (!IsInUse(value) || value.last_bad <= value.last_good) {
    return false;
  }
  // The score of a target that was kept for the floor stays high for a while
  // after its recovery. It is not ejected for that when another one returns, so
  // that the newest answer has to be of the kind that the score counts.
  const bool is_failing = value.failures.score() >= options_.ejection_score;
  const bool is_slow = value.slowness.score() >= options_.ejection_score;
  return value.last_failure == value.last_bad ? is_failing : is_slow;
}

// A fault of the host or of the whole service stops the good answers of all
// targets at about the same time. The others have to have given good answers
// between the beginning of the suspicion and the candidate's newest bad answer.
bool outlier_detector::IsWorseThanOthers(const record& candidate) const {
  std::uint32_t others = 0;
  std::uint32_t good = 0;
  for (const record_map::value_type& entry : records_) {
    const record& other = entry.second;
    if (&other == &candidate || !IsInUse(other)) {
      continue;
    }
    ++others;
    const bool is_good = other.last_good > candidate.suspected_since &&
                         other.last_good <= candidate.last_bad;
    good += is_good ? 1 : 0;
  }
  return 2 * good >= others;
}

double outlier_detector::Severity(const record& value) const {
  const double slowness =
      std::min(1.0, value.slowness.score() / options_.ejection_score);
  return value.recent.failure_share() + kSlownessSeverity * slowness;
}

void outlier_detector::EjectCandidates(time_point now) {
  if (is_self_suspect_ || !options_.is_ejection_enabled) {
    return;
  }
  std::vector<record_map::iterator> candidates;
  for (auto entry = records_.begin(); entry != records_.end(); ++entry) {
    if (IsCandidate(entry->second) && IsWorseThanOthers(entry->second)) {
      entry->second.severity = Severity(entry->second);
      candidates.push_back(entry);
    }
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const record_map::iterator& left, const record_map::iterator& right) {
        return left->second.severity > right->second.severity;
      });
  for (const record_map::iterator& candidate : candidates) {
    record& value = candidate->second;
    if (CanSpare(value.slots) || MakeRoomFor(value, now)) {
      const bool is_failing = value.failures.score() >= options_.ejection_score;
      Eject(candidate->first, value,
            is_failing ? health_reason::kFailures : health_reason::kSlowness,
            now);
    } else if (value.state != health_state::kReducedWeight) {
      Enter(value, health_state::kReducedWeight, health_reason::kFloor, now);
      Emit(health_event_type::kKeptForFloor, candidate->first, value, now);
    }
  }
}

bool outlier_detector::CanSpare(std::uint32_t slots) const {
  return SlotsInUse() >= FloorSlots() + slots;
}

bool outlier_detector::MakeRoomFor(const record& candidate, time_point now) {
  for (record_map::value_type& entry : records_) {
    record& ejected = entry.second;
    const bool is_out = ejected.state == health_state::kEjected ||
                        ejected.state == health_state::kTrial;
    if (is_out && candidate.severity > kSwapSeverityRatio * ejected.severity &&
        SlotsInUse() + ejected.slots >= FloorSlots() + candidate.slots) {
      Readmit(entry.first, ejected, health_reason::kFloor, now);
      return true;
    }
  }
  return false;
}

void outlier_detector::Eject(std::string_view name,
                             record& value,
                             health_reason reason,
                             time_point now) {
  // A host that suspects itself repeats its trials without longer pauses.
  if (!is_self_suspect_ || value.ejections == 0) {
    value.ejections = std::min(value.ejections + 1, kMaximumDoublings);
  }
  const duration doubled =
      options_.first_ejection_time * (1U << (value.ejections - 1));
  value.ejected_until = now + std::min(doubled, options_.maximum_ejection_time);
  Enter(value, health_state::kEjected, reason, now);
  Emit(health_event_type::kEjected, name, value, now);
}

void outlier_detector::Readmit(std::string_view name,
                               record& value,
                               health_reason reason,
                               time_point now) {
  const bool is_for_floor = reason == health_reason::kFloor;
  Enter(value,
        is_for_floor ? health_state::kReducedWeight : health_state::kSlowStart,
        reason, now);
  Emit(health_event_type::kReadmitted, name, value, now);
  const double score =
      (is_for_floor ? 1.0 : kReadmittedScoreRatio) * options_.ejection_score;
  value.failures.Set(score);
  value.slowness.Set(0.0);
  value.ejections_decayed_at = now;
}

void outlier_detector::ReportTrial(std::string_view name,
                                   record& value,
                                   bool is_bad,
                                   time_point now) {
  if (is_bad) {
    const health_reason cause = value.reason;
    Eject(name, value, health_reason::kTrialFailed, now);
    value.reason = cause == health_reason::kSlowness
                       ? health_reason::kSlowness
                       : health_reason::kTrialFailed;
    return;
  }
  ++value.trial_successes;
  if (value.trial_successes >= options_.trials_to_readmit) {
    Readmit(name, value, health_reason::kTrialsSucceeded, now);
  }
}

void outlier_detector::RestoreRecovered(time_point now) {
  const double limit = kRestoredScoreRatio * options_.ejection_score;
  for (record_map::value_type& entry : records_) {
    record& value = entry.second;
    if (value.state == health_state::kReducedWeight &&
        value.failures.score() < limit && value.slowness.score() < limit) {
      Enter(value, health_state::kHealthy, health_reason::kEvidenceCleared,
            now);
      Emit(health_event_type::kRestored, entry.first, value, now);
    }
  }
}

void outlier_detector::KeepFloor(time_point now) {
  while (SlotsInUse() < FloorSlots()) {
    record_map::iterator best = records_.end();
    for (auto entry = records_.begin(); entry != records_.end(); ++entry) {
      const bool is_out = entry->second.state == health_state::kEjected ||
                          entry->second.state == health_state::kTrial;
      if (is_out && (best == records_.end() ||
                     entry->second.severity < best->second.severity)) {
        best = entry;
      }
    }
    if (best == records_.end()) {
      return;
    }
    Readmit(best->first, best->second, health_reason::kFloor, now);
  }
}

bool outlier_detector::LooksUnhealthy(const record& value,
                                      time_point now) const {
  if (!IsInUse(value)) {
    return true;
  }
  const double limit = kUnhealthyScoreRatio * options_.ejection_score;
  if (value.failures.score() >= limit || value.slowness.score() >= limit) {
    return true;
  }
  if (failures_in_a_row_ >= kTotalFailureCount &&
      value.last_failure > last_success_) {
    return true;
  }
  return value.recent.Total(now, options_.evidence_time_constant) >=
             kMinimumRecentSamples &&
         value.recent.failure_share() >= kUnhealthyFailureShare;
}

void outlier_detector::UpdateSelfSuspicion(time_point now) {
  suspicion_updated_ = now;
  std::uint32_t judged = 0;
  std::uint32_t unhealthy = 0;
  for (const record_map::value_type& entry : records_) {
    const record& value = entry.second;
    const bool has_evidence =
        value.recent.Total(now, options_.evidence_time_constant) >= 1.0;
    if (value.state == health_state::kDraining ||
        (IsInUse(value) && !has_evidence)) {
      continue;
    }
    ++judged;
    unhealthy += LooksUnhealthy(value, now) ? 1 : 0;
  }
  const bool is_most =
      unhealthy >= kMinimumUnhealthyTargets && 2 * unhealthy > judged;
  if (is_most == is_self_suspect_ || !options_.is_self_suspicion_enabled) {
    return;
  }
  if (is_self_suspect_ && now - suspect_since_ < options_.suspicion_time) {
    return;
  }
  is_self_suspect_ = is_most;
  suspect_since_ = now;
  if (!is_self_suspect_) {
    // The evidence of that time belongs to the host or to the whole service.
    for (record_map::value_type& entry : records_) {
      entry.second.failures.Set(0.0);
      entry.second.slowness.Set(0.0);
    }
  }
  health_event event;
  event.type = is_self_suspect_ ? health_event_type::kHostSuspected
                                : health_event_type::kHostCleared;
  event.reason = health_reason::kMostTargetsUnhealthy;
  event.time = now;
  event.figures.slots_in_use = SlotsInUse();
  event.figures.floor_slots = FloorSlots();
  events_.push_back(std::move(event));
}

void outlier_detector::AdvanceRecord(std::string_view name,
                                     record& value,
                                     time_point now) {
  if (value.state == health_state::kEjected && now >= value.ejected_until) {
    value.state = health_state::kTrial;
    value.since = now;
    value.trial_successes = 0;
    Emit(health_event_type::kTrialStarted, name, value, now);
  }
  if (value.state == health_state::kSlowStart &&
      now - value.since >= options_.slow_start_time) {
    const bool is_new = value.reason == health_reason::kNewTarget;
    Enter(value, health_state::kHealthy, value.reason, now);
    if (!is_new) {
      Emit(health_event_type::kRestored, name, value, now);
    }
  }
  while (value.state == health_state::kHealthy && value.ejections > 0 &&
         now - value.ejections_decayed_at >= options_.ejection_decay_time) {
    --value.ejections;
    value.ejections_decayed_at += options_.ejection_decay_time;
  }
}

}  // namespace bulrushshore

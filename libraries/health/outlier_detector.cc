#include "libraries/health/outlier_detector.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace bulrushshore {
namespace {

// Scores stop growing at this multiple of the ejection score.
constexpr double kMaximumScoreRatio = 1.5;
// Probes alone raise the score up to this share of the ejection score.
constexpr double kProbeScoreRatio = 0.5;
constexpr duration kSuspicionUpdateInterval = std::chrono::seconds(1);

struct share_range {
  double expected;
  double faulty;
};

// The expected shares have lower bounds, because a reference of a few samples
// without any failure does not prove that failures are impossible.
share_range FailureShares(double peer_share) {
  const double expected = std::clamp(1.5 * peer_share + 0.01, 0.02, 0.9);
  return {expected, std::min(0.97, std::max(0.4, expected + 0.25))};
}

share_range SlowShares(double peer_share) {
  const double expected = std::clamp(1.5 * peer_share + 0.02, 0.08, 0.8);
  return {expected, std::min(0.95, expected + 0.5)};
}

}  // namespace

outlier_detector::record::record(double maximum_score)
    : failures(maximum_score), slowness(maximum_score) {}

outlier_detector::outlier_detector(const health_options& options)
    : options_(options) {}

void outlier_detector::SetTargets(std::span<const monitored_target> targets,
                                  std::uint32_t floor_percent,
                                  time_point now) {
  assert(floor_percent <= 100);
  floor_percent_ = floor_percent;
  record_map previous = std::exchange(records_, {});
  for (const monitored_target& registered : targets) {
    const auto position = previous.find(registered.name);
    const bool is_new = position == previous.end() ||
                        position->second.generation != registered.generation;
    record value = is_new ? record(kMaximumScoreRatio * options_.ejection_score)
                          : position->second;
    value.slots = registered.slots;
    value.generation = registered.generation;
    if (!is_new) {
      previous.erase(position);
    }
    if (registered.is_draining && value.state != health_state::kDraining) {
      Enter(value, health_state::kDraining, health_reason::kDraining, now);
    } else if (!registered.is_draining &&
               ((is_new && has_targets_) ||
                value.state == health_state::kDraining)) {
      Enter(value, health_state::kSlowStart, health_reason::kNewTarget, now);
    } else if (is_new) {
      value.since = now;
    }
    records_.emplace(registered.name, value);
  }
  for (const record_map::value_type& withdrawn : previous) {
    for (std::map<std::string, kind_statistics, std::less<>>::value_type&
             entry : kinds_) {
      entry.second.Forget(withdrawn.first);
    }
  }
  has_targets_ = true;
  KeepFloor(now);
}

void outlier_detector::Report(std::string_view target,
                              const evidence& observed,
                              time_point now) {
  const auto position = records_.find(target);
  if (position == records_.end() || observed.type == evidence_type::kNeutral) {
    return;
  }
  record& value = position->second;
  kind_statistics& statistics = Kind(observed.kind);
  const peer_reference reference = statistics.Reference(target, now);
  if (observed.type == evidence_type::kConnectionLost) {
    const bool is_same_crash =
        value.last_connection_loss &&
        now - *value.last_connection_loss < options_.crash_window;
    if (is_same_crash) {
      return;
    }
    // The window starts at the first loss; otherwise a target that keeps losing
    // connections would never be blamed.
    value.last_connection_loss = now;
  }
  const bool is_failure = IsFailure(observed, reference);
  const bool is_slow = IsSlow(observed, reference);
  if (observed.type == evidence_type::kTimeout && !is_failure) {
    return;
  }
  statistics.AddOutcome(target, is_failure, is_slow, now);
  if (observed.type == evidence_type::kSuccess) {
    statistics.AddDuration(target, observed.elapsed);
  }
  NoteOutcome(value, is_failure, is_slow, now);
  value.peer_failure_share = reference.failure_share;
  if (value.state == health_state::kTrial && observed.is_trial) {
    const bool is_slow_again =
        is_slow && value.reason == health_reason::kSlowness;
    ReportTrial(target, value, is_failure || is_slow_again, now);
  }
  if (!IsInUse(value)) {
    // Work that was started before the ejection says nothing about recovery.
    return;
  }
  const share_range failure_shares = FailureShares(reference.failure_share);
  value.failures.Observe(is_failure, failure_shares.expected,
                         failure_shares.faulty);
  // Targets are slow while they start, so that slowness does not count then.
  if (!is_failure && reference.median_duration &&
      value.state != health_state::kSlowStart) {
    const share_range slow_shares = SlowShares(reference.slow_share);
    value.slowness.Observe(is_slow, slow_shares.expected, slow_shares.faulty);
  }
  UpdateSelfSuspicion(now);
  EjectCandidates(now);
  RestoreRecovered(now);
}

void outlier_detector::ReportProbe(std::string_view target,
                                   bool is_success,
                                   time_point now) {
  const auto position = records_.find(target);
  if (position == records_.end() || is_success || !IsInUse(position->second)) {
    // Targets with a gray failure answer probes, so that a successful probe is
    // no evidence of health.
    return;
  }
  record& value = position->second;
  const double limit = kProbeScoreRatio * options_.ejection_score;
  const double previous = value.failures.score();
  if (previous >= limit) {
    return;
  }
  const share_range shares = FailureShares(0.0);
  value.failures.Observe(true, shares.expected, shares.faulty,
                         options_.probe_weight);
  value.failures.Set(std::min(value.failures.score(), limit));
  UpdateSelfSuspicion(now);
}

void outlier_detector::Advance(time_point now) {
  for (record_map::value_type& entry : records_) {
    AdvanceRecord(entry.first, entry.second, now);
  }
  UpdateSelfSuspicion(now);
  EjectCandidates(now);
}

std::optional<time_point> outlier_detector::NextDecision() const {
  std::optional<time_point> next;
  const auto consider = [&next](time_point candidate) {
    next = next ? std::min(*next, candidate) : candidate;
  };
  for (const record_map::value_type& entry : records_) {
    const record& value = entry.second;
    if (value.state == health_state::kEjected) {
      consider(value.ejected_until);
    } else if (value.state == health_state::kSlowStart) {
      consider(value.since + options_.slow_start_time);
    }
  }
  if (is_self_suspect_) {
    consider(std::max(suspect_since_ + options_.suspicion_time,
                      suspicion_updated_ + kSuspicionUpdateInterval));
  }
  return next;
}

target_health outlier_detector::Health(std::string_view target,
                                       time_point now) const {
  const auto position = records_.find(target);
  assert(position != records_.end());
  const record& value = position->second;
  target_health health{value.state, value.since, value.reason, 1.0};
  switch (value.state) {
    case health_state::kHealthy:
      break;
    case health_state::kReducedWeight:
      health.weight = options_.reduced_weight;
      break;
    case health_state::kSlowStart: {
      const double progress =
          std::chrono::duration<double>(now - value.since).count() /
          std::chrono::duration<double>(options_.slow_start_time).count();
      health.weight = std::clamp(progress, options_.slow_start_weight, 1.0);
      break;
    }
    case health_state::kEjected:
    case health_state::kTrial:
    case health_state::kDraining:
      health.weight = 0.0;
      break;
  }
  return health;
}

bool outlier_detector::NeedsTrial(std::string_view target) const {
  const auto position = records_.find(target);
  return position != records_.end() &&
         position->second.state == health_state::kTrial;
}

std::uint32_t outlier_detector::SlotsInUse() const {
  std::uint32_t slots = 0;
  for (const record_map::value_type& entry : records_) {
    slots += IsInUse(entry.second) ? entry.second.slots : 0;
  }
  return slots;
}

std::uint32_t outlier_detector::FloorSlots() const {
  std::uint64_t registered = 0;
  for (const record_map::value_type& entry : records_) {
    registered += entry.second.slots;
  }
  return static_cast<std::uint32_t>((registered * floor_percent_ + 99) / 100);
}

std::vector<health_event> outlier_detector::TakeEvents() {
  return std::exchange(events_, {});
}

bool outlier_detector::IsInUse(const record& value) {
  return value.state == health_state::kHealthy ||
         value.state == health_state::kReducedWeight ||
         value.state == health_state::kSlowStart;
}

void outlier_detector::NoteOutcome(record& value,
                                   bool is_failure,
                                   bool is_slow,
                                   time_point now) {
  value.recent.Add(is_failure, is_slow, now, options_.evidence_time_constant);
  const bool is_bad = is_failure || is_slow;
  if (is_bad && value.failures.score() == 0.0 &&
      value.slowness.score() == 0.0) {
    value.suspected_since = now;
  }
  (is_bad ? value.last_bad : value.last_good) = now;
  if (is_failure) {
    value.last_failure = now;
    ++failures_in_a_row_;
  } else {
    last_success_ = now;
    failures_in_a_row_ = 0;
  }
}

bool outlier_detector::IsFailure(const evidence& observed,
                                 const peer_reference& reference) const {
  switch (observed.type) {
    case evidence_type::kSuccess:
    case evidence_type::kNeutral:
      return false;
    case evidence_type::kFailure:
    case evidence_type::kConnectionLost:
      return true;
    case evidence_type::kTimeout:
      // An impatient caller's deadline says nothing about the target if other
      // targets would have missed it as well.
      return !reference.median_duration || IsSlow(observed, reference);
  }
  return false;
}

bool outlier_detector::IsSlow(const evidence& observed,
                              const peer_reference& reference) const {
  if (!reference.median_duration) {
    return false;
  }
  const duration median = *reference.median_duration;
  const duration limit = std::max(
      std::chrono::duration_cast<duration>(options_.slow_ratio * median),
      median + options_.slow_margin);
  return observed.elapsed > limit;
}

void outlier_detector::Enter(record& value,
                             health_state state,
                             health_reason reason,
                             time_point now) {
  value.state = state;
  value.reason = reason;
  value.since = now;
}

void outlier_detector::Emit(health_event_type type,
                            std::string_view name,
                            const record& value,
                            time_point now) {
  health_event event;
  event.type = type;
  event.target = name;
  event.reason = value.reason;
  event.time = now;
  if (type == health_event_type::kEjected) {
    event.ejection_time = value.ejected_until - now;
  }
  event.figures.failure_score = value.failures.score();
  event.figures.slowness_score = value.slowness.score();
  event.figures.failure_share = value.recent.failure_share();
  event.figures.samples =
      value.recent.Total(now, options_.evidence_time_constant);
  event.figures.peer_failure_share = value.peer_failure_share;
  event.figures.slots_in_use = SlotsInUse();
  event.figures.floor_slots = FloorSlots();
  events_.push_back(std::move(event));
}

kind_statistics& outlier_detector::Kind(std::string_view kind) {
  const auto position = kinds_.find(kind);
  if (position != kinds_.end()) {
    return position->second;
  }
  return kinds_
      .emplace(std::string(kind),
               kind_statistics(options_.evidence_time_constant))
      .first->second;
}

}  // namespace bulrushshore

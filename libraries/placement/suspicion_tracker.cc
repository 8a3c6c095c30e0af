#include "libraries/placement/suspicion_tracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bulrushshore {
namespace {

// Suspicion below this value does not affect the choice of targets.
constexpr double kNegligibleSuspicion = 0.01;

bool IsConnectionError(target_observation observation) {
  return observation == target_observation::kConnectFailed ||
         observation == target_observation::kConnectionLost ||
         observation == target_observation::kReusedConnectionLost;
}

// Returns true for observations that count towards recurrences. Those that load
// may cause do not.
bool IsFailure(target_observation observation) {
  return observation == target_observation::kFailure ||
         observation == target_observation::kInvalidResponse ||
         observation == target_observation::kConnectFailed ||
         observation == target_observation::kConnectionLost;
}

}  // namespace

std::string_view TargetObservationName(target_observation observation) {
  switch (observation) {
    case target_observation::kSuccess:
      return "success";
    case target_observation::kFailure:
      return "failure";
    case target_observation::kInvalidResponse:
      return "bad_answer";
    case target_observation::kOverdue:
      return "overdue";
    case target_observation::kRefused:
      return "refused";
    case target_observation::kConnectFailed:
      return "connect_failed";
    case target_observation::kConnectionLost:
      return "connection_lost";
    case target_observation::kReusedConnectionLost:
      return "reused_connection_lost";
  }
  return "unknown";
}

bool MayBeCausedByLoad(target_observation observation) {
  return observation == target_observation::kOverdue ||
         observation == target_observation::kRefused;
}

suspicion_tracker::suspicion_tracker(const suspicion_options& options)
    : options_(options) {}

void suspicion_tracker::RecordLocalObservation(const target_key& target,
                                               target_observation observation,
                                               time_point now) {
  if (observation == target_observation::kSuccess) {
    target_record& value = FindOrCreateRecord(target);
    value.suspicion = DecayedSuspicion(value, now) * options_.success_factor;
    value.updated = now;
    value.succeeded = now;
    ++value.successes_in_a_row;
    return;
  }
  target_record& value = AddSuspicion(target, WeightOf(observation), now);
  if (IsFailure(observation)) {
    RecordFailure(value, now);
  }
}

void suspicion_tracker::RecordRemoteObservation(const target_key& target,
                                                target_observation observation,
                                                time_point now) {
  if (observation == target_observation::kSuccess) {
    return;
  }
  const bool is_connection_error = IsConnectionError(observation);
  const double factor = is_connection_error ? options_.remote_path_factor : 1.0;
  target_record& value =
      AddSuspicion(target, WeightOf(observation) * factor, now);
  if (IsFailure(observation) && !is_connection_error) {
    RecordFailure(value, now);
  }
}

void suspicion_tracker::MergeRemoteSuspicion(const target_key& target,
                                             double suspicion,
                                             time_point now) {
  target_record& value = FindOrCreateRecord(target);
  value.suspicion = std::min(options_.maximum_suspicion,
                             std::max(DecayedSuspicion(value, now), suspicion));
  value.updated = now;
  value.succeeded.reset();
}

std::vector<suspicion_tracker::suspected_target>
suspicion_tracker::MostSuspected(std::size_t count,
                                 double minimum_suspicion,
                                 time_point now) const {
  std::vector<suspected_target> suspected;
  for (const record_map::value_type& entry : records_) {
    const double suspicion = DecayedSuspicion(entry.second, now);
    if (suspicion >= minimum_suspicion) {
      suspected.push_back(
          {entry.first, entry.second.started_at_unix_ms, suspicion});
    }
  }
  std::sort(suspected.begin(), suspected.end(),
            [](const suspected_target& left, const suspected_target& right) {
              return left.suspicion > right.suspicion;
            });
  if (suspected.size() > count) {
    suspected.resize(count);
  }
  return suspected;
}

double suspicion_tracker::Suspicion(const target_key& target,
                                    time_point now) const {
  const target_record* const known = FindRecord(target);
  return known ? DecayedSuspicion(*known, now) : 0.0;
}

bool suspicion_tracker::HasRecentSuccess(const target_record& value,
                                         time_point now) const {
  return value.succeeded &&
         now - *value.succeeded < options_.recent_success_window;
}

suspicion_tracker::target_standing suspicion_tracker::Standing(
    const target_key& target,
    bool is_cautious,
    time_point now) const {
  const auto found = records_.find(target.id);
  if (found == records_.end()) {
    return {};
  }
  const target_record& known = found->second;
  target_standing standing{.requests_in_flight = known.requests_in_flight};
  if (known.started_at_unix_ms == target.started_at_unix_ms) {
    standing.suspicion =
        is_cautious ? DecayedSuspicion(known, now)
                    : DecayedSuspicion(known, options_.time_constant, now);
    standing.has_recent_success = HasRecentSuccess(known, now);
  }
  return standing;
}

void suspicion_tracker::BeginRequest(std::string_view id) {
  ++records_.try_emplace(std::string(id)).first->second.requests_in_flight;
}

void suspicion_tracker::EndRequest(std::string_view id) {
  const auto found = records_.find(id);
  assert(found != records_.end() && found->second.requests_in_flight > 0);
  --found->second.requests_in_flight;
}

std::uint32_t suspicion_tracker::InFlightRequests(std::string_view id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? 0 : found->second.requests_in_flight;
}

void suspicion_tracker::Forget(time_point now) {
  std::erase_if(records_, [this, now](const record_map::value_type& entry) {
    return entry.second.requests_in_flight == 0 &&
           !HasRecentSuccess(entry.second, now) &&
           DecayedSuspicion(entry.second, now) < kNegligibleSuspicion;
  });
}

double suspicion_tracker::WeightOf(target_observation observation) const {
  switch (observation) {
    case target_observation::kSuccess:
      return 0.0;
    case target_observation::kFailure:
    case target_observation::kInvalidResponse:
    case target_observation::kConnectionLost:
      return options_.failure_weight;
    case target_observation::kOverdue:
      return options_.overdue_weight;
    case target_observation::kRefused:
      return options_.refusal_weight;
    case target_observation::kReusedConnectionLost:
      return options_.reused_connection_weight;
    case target_observation::kConnectFailed:
      return options_.connect_failure_weight;
  }
  return 0.0;
}

const suspicion_tracker::target_record* suspicion_tracker::FindRecord(
    const target_key& target) const {
  const auto found = records_.find(target.id);
  const bool is_known =
      found != records_.end() &&
      found->second.started_at_unix_ms == target.started_at_unix_ms;
  return is_known ? &found->second : nullptr;
}

suspicion_tracker::target_record& suspicion_tracker::FindOrCreateRecord(
    const target_key& target) {
  target_record& value =
      records_.try_emplace(std::string(target.id)).first->second;
  if (value.started_at_unix_ms != target.started_at_unix_ms) {
    const std::uint32_t requests_in_flight = value.requests_in_flight;
    value = {};
    value.started_at_unix_ms = target.started_at_unix_ms;
    value.requests_in_flight = requests_in_flight;
  }
  return value;
}

suspicion_tracker::target_record& suspicion_tracker::AddSuspicion(
    const target_key& target,
    double weight,
    time_point now) {
  target_record& value = FindOrCreateRecord(target);
  value.suspicion = std::min(options_.maximum_suspicion,
                             DecayedSuspicion(value, now) + weight);
  value.updated = now;
  return value;
}

void suspicion_tracker::RecordFailure(target_record& value,
                                      time_point now) const {
  value.succeeded.reset();
  if (value.failed &&
      now - *value.failed < options_.simultaneous_failure_window) {
    return;
  }
  const bool is_recurrence =
      value.failed && now - *value.failed < options_.recurrence_window &&
      value.successes_in_a_row < options_.clearing_successes;
  value.time_constant =
      is_recurrence
          ? std::min(options_.maximum_time_constant,
                     std::chrono::duration_cast<duration>(
                         value.time_constant * options_.recurrence_factor))
          : options_.time_constant;
  value.failed = now;
  value.successes_in_a_row = 0;
}

double suspicion_tracker::DecayedSuspicion(const target_record& value,
                                           time_point now) const {
  return DecayedSuspicion(
      value, value.failed ? value.time_constant : options_.time_constant, now);
}

double suspicion_tracker::DecayedSuspicion(const target_record& value,
                                           duration time_constant,
                                           time_point now) {
  if (value.suspicion == 0.0) {
    return 0.0;
  }
  const double elapsed = std::chrono::duration<double>(now - value.updated) /
                         std::chrono::duration<double>(time_constant);
  return value.suspicion * std::exp(-std::max(0.0, elapsed));
}

}  // namespace bulrushshore

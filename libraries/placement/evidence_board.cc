#include "libraries/placement/evidence_board.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bulrushshore {
namespace {

// Suspicion below this has no effect on placement.
constexpr double kNegligibleSuspicion = 0.01;

bool IsAboutPath(target_observation observation) {
  return observation == target_observation::kConnectFailed ||
         observation == target_observation::kConnectionLost ||
         observation == target_observation::kReusedConnectionLost;
}

}  // namespace

std::string_view TargetObservationName(target_observation observation) {
  switch (observation) {
    case target_observation::kSuccess:
      return "success";
    case target_observation::kFailure:
      return "failure";
    case target_observation::kBadAnswer:
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

evidence_board::evidence_board(const evidence_options& options)
    : options_(options) {}

void evidence_board::ObserveHere(const target_key& target,
                                 target_observation observation,
                                 time_point now) {
  if (observation == target_observation::kSuccess) {
    const auto found = records_.find(target.id);
    if (found != records_.end()) {
      found->second.suspicion =
          Decayed(found->second, now) * options_.success_factor;
      found->second.updated = now;
    }
    return;
  }
  Add(target, WeightOf(observation), now);
}

void evidence_board::ObserveElsewhere(const target_key& target,
                                      target_observation observation,
                                      time_point now) {
  if (observation == target_observation::kSuccess) {
    return;
  }
  const double factor =
      IsAboutPath(observation) ? options_.remote_path_factor : 1.0;
  Add(target, WeightOf(observation) * factor, now);
}

double evidence_board::Suspicion(const target_key& target,
                                 time_point now) const {
  const auto found = records_.find(target.id);
  if (found == records_.end() ||
      found->second.started_at_unix_ms != target.started_at_unix_ms) {
    return 0.0;
  }
  return Decayed(found->second, now);
}

void evidence_board::BeginRequest(std::string_view id) {
  ++records_.try_emplace(std::string(id)).first->second.requests_held;
}

void evidence_board::EndRequest(std::string_view id) {
  const auto found = records_.find(id);
  assert(found != records_.end() && found->second.requests_held > 0);
  --found->second.requests_held;
}

std::uint32_t evidence_board::RequestsHeld(std::string_view id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? 0 : found->second.requests_held;
}

void evidence_board::Forget(time_point now) {
  std::erase_if(records_, [this, now](const record_map::value_type& entry) {
    return entry.second.requests_held == 0 &&
           Decayed(entry.second, now) < kNegligibleSuspicion;
  });
}

double evidence_board::WeightOf(target_observation observation) const {
  switch (observation) {
    case target_observation::kSuccess:
      return 0.0;
    case target_observation::kFailure:
    case target_observation::kBadAnswer:
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

void evidence_board::Add(const target_key& target,
                         double weight,
                         time_point now) {
  record& value = records_.try_emplace(std::string(target.id)).first->second;
  if (value.started_at_unix_ms != target.started_at_unix_ms) {
    value.started_at_unix_ms = target.started_at_unix_ms;
    value.suspicion = 0.0;
  }
  value.suspicion =
      std::min(options_.maximum_suspicion, Decayed(value, now) + weight);
  value.updated = now;
}

double evidence_board::Decayed(const record& value, time_point now) const {
  if (value.suspicion == 0.0) {
    return 0.0;
  }
  const double elapsed = std::chrono::duration<double>(now - value.updated) /
                         std::chrono::duration<double>(options_.time_constant);
  return value.suspicion * std::exp(-std::max(0.0, elapsed));
}

}  // namespace bulrushshore

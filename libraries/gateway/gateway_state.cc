#include "libraries/gateway/gateway_state.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

// Share of the fleet's retry allowance that the serving hosts divide among
// themselves. The rest is for non-serving hosts that callers still use because
// their discovery response is outdated, and for hosts that start to serve in
// place of others.
constexpr double kServingShareOfAllowance = 0.7;

// Lower limit of a host's retry allowance, and the whole allowance of a host
// that is not a serving host.
constexpr double kMinRetryTokens = 1.0;

}  // namespace

gateway_state::gateway_state(boost::asio::io_context& loop,
                             const clock& time,
                             random_source& random,
                             gateway_telemetry& telemetry,
                             evidence_reporter& reporter,
                             const gateway_options& options)
    : loop_(loop),
      time_(time),
      random_(random),
      telemetry_(telemetry),
      reporter_(reporter),
      options_(options),
      targets_(options.registry),
      evidence_(options.evidence),
      rests_(options.max_target_rest),
      chooser_(options.placement, random),
      crashes_(options.crash_guard),
      connections_(loop, time, options.connections) {}

bool gateway_state::SetRules(std::shared_ptr<const rule_set> rules) {
  if (rules_ && rules->version <= rules_->rules().version) {
    return false;
  }
  rules_ = std::make_shared<rule_index>(std::move(rules));
  return true;
}

void gateway_state::SetFleet(const fleet_state& fleet, std::string_view zone) {
  fleet_ = fleet;
  chooser_.SetView({std::string(zone), fleet.zone_count, fleet.serving_hosts});
  for (retry_map::value_type& entry : retries_) {
    entry.second.SetAllowance(HostRetryAllowance());
  }
}

retry_window& gateway_state::RetriesOf(std::string_view service) {
  const time_point now = time_.Now();
  const auto found = retries_.find(service);
  if (found != retries_.end()) {
    found->second.Advance(now);
    return found->second;
  }
  const retry_window_options options{.window = options_.retry_window,
                                     .ratio = options_.retry_ratio,
                                     .initial_allowance = kMinRetryTokens};
  retry_window& added =
      retries_.emplace(std::string(service), retry_window(options, now))
          .first->second;
  added.SetAllowance(HostRetryAllowance());
  return added;
}

std::optional<registered_target> gateway_state::ChooseTarget(
    std::string_view service,
    attempt_role role,
    std::span<const std::string> excluded_ids) {
  const std::span<const registered_target> usable =
      targets_.UsableTargets(service);
  const placement_request request{
      .excluded_ids = excluded_ids,
      .now = time_.Now(),
      .is_cautious = role != attempt_role::kRepeatableFirst,
      .must_use_floor = MustUseFloor(service, role),
      .rests = rests_.empty() ? nullptr : &rests_};
  const std::optional<std::size_t> chosen =
      chooser_.Choose(usable, evidence_, request);
  if (!chosen) {
    return std::nullopt;
  }
  return usable[*chosen];
}

void gateway_state::RecordOutcome(std::string_view service,
                                  bool is_repeatable,
                                  bool is_served) {
  floors_.try_emplace(std::string(service))
      .first->second.Record(is_repeatable, is_served, time_.Now());
}

bool gateway_state::MustUseFloor(std::string_view service,
                                 attempt_role role) const {
  const auto found = floors_.find(service);
  return found != floors_.end() &&
         found->second.MustUseFloor(role, time_.Now());
}

void gateway_state::Observe(const target_entry& target,
                            target_observation observation) {
  const suspicion_tracker::target_key key{target.id, target.started_at_unix_ms};
  evidence_.RecordLocalObservation(key, observation, time_.Now());
  if (observation != target_observation::kSuccess) {
    reporter_.ReportObservation(key, observation);
  }
}

void gateway_state::RecordLoss(std::uint64_t fingerprint,
                               std::string_view target_id,
                               loss_evidence evidence) {
  const bool is_held =
      crashes_.RecordLoss(fingerprint, target_id, time_.Now(), evidence);
  reporter_.ReportLoss(fingerprint, target_id, evidence);
  if (is_held) {
    telemetry_.log().Write(
        log_level::kWarning, "request_held_back",
        {{"fingerprint", FormatHex(fingerprint)}, {"last_target", target_id}});
  }
}

bool gateway_state::MarkLeaving(const suspicion_tracker::target_key& target) {
  if (!targets_.MarkLeaving(target.id, target.started_at_unix_ms)) {
    return false;
  }
  connections_.Drop(target.id);
  telemetry_.log().Write(log_level::kInfo, "target_leaving",
                         {{"target", target.id}});
  return true;
}

void gateway_state::HandleSignals(const target_entry& target,
                                  const target_signals& signals) {
  const suspicion_tracker::target_key key{target.id, target.started_at_unix_ms};
  if (signals.is_leaving && MarkLeaving(key)) {
    reporter_.ReportLeaving(key);
  }
  if (signals.requested_rest) {
    rests_.Record(key, *signals.requested_rest, time_.Now());
    telemetry_.log().Write(log_level::kInfo, "target_rests",
                           {{"target", target.id},
                            {"service", target.service},
                            {"rest_ms", signals.requested_rest->count()}});
  }
  if (signals.is_rest_unreadable) {
    telemetry_.log().Write(
        log_level::kInfo, "target_rest_unreadable",
        {{"target", target.id}, {"service", target.service}});
  }
}

std::optional<time_point> gateway_state::RestingUntil(
    std::string_view service) const {
  if (rests_.empty()) {
    return std::nullopt;
  }
  std::optional<time_point> earliest;
  for (const registered_target& target : targets_.UsableTargets(service)) {
    const std::optional<time_point> until = rests_.RestingUntil(
        {target.entry.id, target.entry.started_at_unix_ms}, time_.Now());
    if (!until) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(*until), *until);
  }
  return earliest;
}

void gateway_state::Forget() {
  const time_point now = time_.Now();
  connections_.CloseExpired();
  evidence_.Forget(now);
  rests_.Forget(now);
}

void gateway_state::Disown(const target_entry& target) {
  targets_.Disown(target.id);
  connections_.Drop(target.id);
  telemetry_.log().Write(log_level::kInfo, "target_disowned",
                         {{"target", target.id},
                          {"service", target.service},
                          {"address", FormatEndpoint(target.address)}});
}

double gateway_state::HostRetryAllowance() const {
  if (!fleet_.is_serving) {
    return kMinRetryTokens;
  }
  return std::max(
      kMinRetryTokens,
      options_.retry_allowance * kServingShareOfAllowance /
          static_cast<double>(std::max<std::size_t>(1, fleet_.serving_hosts)));
}

}  // namespace bulrushshore

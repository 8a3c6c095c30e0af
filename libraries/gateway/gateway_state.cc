#include "libraries/gateway/gateway_state.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

// Part of the fleet's allowance that the serving hosts share; the rest covers
// hosts that callers with an old answer still use and hosts that take over.
constexpr double kServingShareOfAllowance = 0.7;

// A service fails if more than this share of its requests is not served. A
// little below the tenth from which the users require the floor to hold.
constexpr double kFailingShare = 0.08;

// Part of a host's allowance that it may save for one moment; the rest comes
// evenly over the window. In no window do the two exceed the allowance.
constexpr double kSavedShareOfAllowance = 0.5;

// Tokens that a host saves which is not meant to take requests.
constexpr double kIdleHostTokens = 1.0;

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

void gateway_state::SetFleet(const fleet_size& fleet, std::string_view zone) {
  fleet_ = fleet;
  chooser_.SetView({std::string(zone), fleet.zone_count, fleet.serving_hosts});
  for (budget_map::value_type& entry : budgets_) {
    entry.second.SetAllowance(SavedRetries(), RetriesPerSecond());
  }
}

retry_budget& gateway_state::BudgetOf(std::string_view service) {
  const auto found = budgets_.find(service);
  if (found != budgets_.end()) {
    found->second.Advance(time_.Now());
    return found->second;
  }
  const retry_budget_options options{
      .tokens_per_first_attempt = options_.retry_ratio,
      .tokens_per_second = RetriesPerSecond(),
      .maximum_tokens = SavedRetries(),
      .initial_tokens = kIdleHostTokens};
  retry_budget& added =
      budgets_.emplace(std::string(service), retry_budget(options))
          .first->second;
  added.Advance(time_.Now());
  return added;
}

std::optional<registered_target> gateway_state::ChooseTarget(
    std::string_view service,
    bool is_cautious,
    std::span<const std::string> excluded_ids) {
  const std::span<const registered_target> usable = targets_.Usable(service);
  const std::optional<std::size_t> chosen = chooser_.Choose(
      usable, evidence_,
      {excluded_ids, time_.Now(), is_cautious, IsFailing(service)});
  if (!chosen) {
    return std::nullopt;
  }
  return usable[*chosen];
}

void gateway_state::RecordOutcome(std::string_view service, bool is_served) {
  outcomes_.try_emplace(std::string(service))
      .first->second.Record(is_served, time_.Now());
}

bool gateway_state::IsFailing(std::string_view service) const {
  const auto found = outcomes_.find(service);
  return found != outcomes_.end() &&
         found->second.UnservedShare(time_.Now()) > kFailingShare;
}

void gateway_state::Observe(const target_entry& target,
                            target_observation observation) {
  const evidence_board::target_key key{target.id, target.started_at_unix_ms};
  evidence_.ObserveHere(key, observation, time_.Now());
  if (observation != target_observation::kSuccess) {
    reporter_.ReportObservation(key, observation);
  }
}

void gateway_state::RecordLoss(std::uint64_t fingerprint,
                               std::string_view target_id) {
  const bool is_held = crashes_.RecordLoss(fingerprint, target_id, time_.Now());
  reporter_.ReportLoss(fingerprint, target_id);
  if (is_held) {
    telemetry_.log().Write(
        log_level::kWarning, "request_held_back",
        {{"fingerprint", FormatHex(fingerprint)}, {"last_target", target_id}});
  }
}

void gateway_state::Disown(const target_entry& target) {
  targets_.Disown(target.id);
  connections_.Drop(target.id);
  telemetry_.log().Write(log_level::kInfo, "target_disowned",
                         {{"target", target.id},
                          {"service", target.service},
                          {"address", FormatEndpoint(target.address)}});
}

double gateway_state::RetryAllowance() const {
  if (!fleet_.is_serving) {
    return kIdleHostTokens;
  }
  return std::max(
      kIdleHostTokens,
      options_.retry_allowance * kServingShareOfAllowance /
          static_cast<double>(std::max<std::size_t>(1, fleet_.serving_hosts)));
}

double gateway_state::SavedRetries() const {
  return std::max(kIdleHostTokens, RetryAllowance() * kSavedShareOfAllowance);
}

double gateway_state::RetriesPerSecond() const {
  return (RetryAllowance() - SavedRetries()) /
         std::chrono::duration<double>(options_.retry_window).count();
}

}  // namespace bulrushshore

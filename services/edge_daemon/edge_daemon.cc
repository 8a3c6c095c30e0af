#include "services/edge_daemon/edge_daemon.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "libraries/event_loop/message_guard.h"

namespace bulrushshore {
namespace {

// Longest interval of work that depends only on time, such as closing idle
// connections and deciding on targets that are held back.
constexpr duration kMaintenanceInterval = std::chrono::milliseconds(500);
constexpr duration kMinMaintenanceInterval = std::chrono::milliseconds(10);

// The leader of a zone publishes its view at this interval and at each change.
constexpr duration kViewInterval = std::chrono::seconds(1);

// Hosts read a change at slightly different times, so that a difference is only
// reported if it lasts longer than this.
constexpr duration kViewCheckDelay = std::chrono::milliseconds(1000);

// Size limit of the targets in a leader's suspicion summary, so that the
// datagram and its headers fit into one packet of 1,500 bytes.
constexpr std::size_t kMaxSummaryBytes = 1000;

// Size of a summary entry without the target's id: the CBOR heads and two
// numbers.
constexpr std::size_t kSuspicionOverheadBytes = 16;

// Lowest suspicion that is published: that of one refusal, the weakest
// observation (suspicion_options::refusal_weight).
constexpr double kMinPublishedSuspicion = 0.3;

// Summaries carry a suspicion as an integer number of thousandths.
constexpr double kThousandthsPerUnit = 1000.0;

// Reports of lost targets that one announcement of a host is answered with.
constexpr std::size_t kMaxHoldReports = 64;

// Interval at which a leaving host checks its phase.
constexpr duration kLeavePollInterval = std::chrono::milliseconds(50);

}  // namespace

edge_daemon::edge_daemon(boost::asio::io_context& loop,
                         const edge_options& options)
    : options_(options),
      random_(seeded_random::FromSystemEntropy()),
      log_(time_),
      telemetry_(log_, metrics_),
      state_(loop, time_, random_, telemetry_, *this, options.gateway),
      gateway_(state_),
      hosts_(options.self, random_, options.hosts),
      peers_(loop, time_, random_, hosts_, log_, *this, options.peers),
      maintenance_timer_(loop),
      leave_timer_(loop),
      publish_timer_(loop),
      view_timer_(loop) {}

status edge_daemon::Start() {
  status peers_started = peers_.Start();
  if (!IsOk(peers_started)) {
    return peers_started;
  }
  status listening = gateway_.Listen(options_.self.caller_address);
  if (!IsOk(listening)) {
    return listening;
  }
  // Not ready until the rules, the targets and the other hosts are known.
  hosts_.SetReady(options_.self.id, false);
  OnHostsChanged();
  ScheduleMaintenance();
  log_.Write(log_level::kInfo, "host_started",
             {{"host", options_.self.id},
              {"zone", options_.self.zone},
              {"address", FormatEndpoint(options_.self.caller_address)}});
  return OkStatus();
}

void edge_daemon::ApplyRules(rule_set rules) {
  const std::uint64_t version = rules.version;
  const std::size_t routes = rules.routes.size();
  const bool is_new =
      state_.SetRules(std::make_shared<const rule_set>(std::move(rules)));
  log_.Write(log_level::kInfo, is_new ? "rules_applied" : "rules_outdated",
             {{"version", version}, {"routes", routes}});
  if (is_new) {
    PublishView();
    UpdateReadiness();
  }
}

void edge_daemon::ApplyTarget(const target_entry& entry) {
  LogTargetChange(state_.targets().Apply(entry, time_.Now()));
}

void edge_daemon::OnTargetChangesComplete() {
  PublishView();
}

void edge_daemon::RemoveTarget(std::string_view id) {
  const std::optional<target_change> change =
      state_.targets().Remove(id, time_.Now());
  if (change) {
    LogTargetChange(*change);
  }
}

void edge_daemon::ReplaceTargets(std::span<const target_entry> entries) {
  const std::vector<target_change> changes =
      state_.targets().Replace(entries, time_.Now());
  for (const target_change& change : changes) {
    LogTargetChange(change);
  }
  if (!changes.empty()) {
    PublishView();
  }
  has_target_list_ = true;
  UpdateReadiness();
}

void edge_daemon::OnTargetListLost() {
  state_.targets().OnListUnavailable();
}

void edge_daemon::OnTargetListRegained() {
  state_.targets().OnListAvailable(time_.Now());
}

void edge_daemon::LogTargetChange(const target_change& change) {
  const target_entry* entry = state_.targets().Find(change.id);
  const bool is_out_of_use = !entry || entry->is_draining;
  if (is_out_of_use) {
    state_.connections().Drop(change.id);
  }
  log_.Write(log_level::kInfo, "target_changed",
             {{"target", change.id},
              {"service", change.service},
              {"change", TargetChangeTypeName(change.type)},
              {"sequence", entry ? entry->sequence : 0}});
}

void edge_daemon::AddHosts(std::span<const host_entry> hosts) {
  bool has_list_changed = !std::exchange(has_host_list_, true);
  for (const host_entry& host : hosts) {
    if (host.id == hosts_.self().id) {
      continue;
    }
    has_list_changed |= !hosts_.Find(host.id);
    hosts_.Add(host);
  }
  OnHostsChanged();
  UpdateReadiness();
  if (has_list_changed) {
    peers_.Announce();
  }
}

bool edge_daemon::IsReady() const {
  return state_.rules() != nullptr && has_target_list_ && has_host_list_ &&
         !is_leaving_;
}

std::size_t edge_daemon::usable_target_count() const {
  return state_.targets().usable_count();
}

void edge_daemon::UpdateReadiness() {
  if (!hosts_.SetReady(options_.self.id, IsReady())) {
    return;
  }
  OnHostsChanged();
  peers_.Announce();
}

std::vector<endpoint> edge_daemon::AddressesFor(std::string_view zone) const {
  return hosts_.AddressesFor(zone);
}

std::string edge_daemon::RenderMetrics() {
  metrics_.GetGauge("bulrush_sessions", "Open connections of callers.")
      .Set(static_cast<std::int64_t>(gateway_.session_count()));
  metrics_.GetGauge("bulrush_unanswered_requests", "Requests in progress.")
      .Set(static_cast<std::int64_t>(gateway_.UnansweredRequests()));
  metrics_.GetGauge("bulrush_usable_targets", "Targets that may get requests.")
      .Set(static_cast<std::int64_t>(state_.targets().usable_count()));
  metrics_.GetGauge("bulrush_hosts", "Known hosts of the fleet.")
      .Set(static_cast<std::int64_t>(hosts_.host_count()));
  metrics_.GetGauge("bulrush_lost_hosts", "Known hosts that do not answer.")
      .Set(static_cast<std::int64_t>(hosts_.lost_count()));
  metrics_.GetGauge("bulrush_rules_version", "Version of the rules in force.")
      .Set(state_.rules()
               ? static_cast<std::int64_t>(state_.rules()->rules().version)
               : 0);
  metrics_.GetGauge("bulrush_log_lines_dropped", "Log lines over the rate.")
      .Set(static_cast<std::int64_t>(log_.dropped()));
  metrics_
      .GetGauge("bulrush_log_lines_not_taken",
                "Log lines that the reader of the log was too slow for.")
      .Set(static_cast<std::int64_t>(DroppedLogLines()));
  metrics_
      .GetGauge("bulrush_handler_exceptions",
                "Messages and timers whose handler has thrown.")
      .Set(static_cast<std::int64_t>(HandlerExceptions()));
  return metrics_.RenderText();
}

void edge_daemon::ReportObservation(const suspicion_tracker::target_key& target,
                                    target_observation observation) {
  peers_.Report(observation_report{std::string(target.id),
                                   target.started_at_unix_ms, observation});
}

void edge_daemon::ReportLoss(std::uint64_t fingerprint,
                             std::string_view target_id,
                             loss_evidence evidence) {
  peers_.Report(target_loss_report{fingerprint, std::string(target_id),
                                   evidence == loss_evidence::kCertain});
}

void edge_daemon::ReportLeaving(const suspicion_tracker::target_key& target) {
  peers_.Report(
      target_leaving_report{std::string(target.id), target.started_at_unix_ms});
}

void edge_daemon::OnObservation(const observation_report& report) {
  state_.evidence().RecordRemoteObservation(
      {report.target_id, report.started_at_unix_ms}, report.observation,
      time_.Now());
}

void edge_daemon::OnTargetLost(const target_loss_report& report) {
  state_.crashes().RecordLoss(
      report.fingerprint, report.target_id, time_.Now(),
      report.is_certain ? loss_evidence::kCertain : loss_evidence::kPossible);
}

void edge_daemon::OnHostAnnounced(std::string_view host_id) {
  if (!hosts_.IsServing()) {
    return;
  }
  // A host that has restarted has forgotten which requests are held back, and
  // would let each of them reach more targets.
  std::size_t reports = 0;
  for (const held_fingerprint& held : state_.crashes().Held(time_.Now())) {
    for (const std::string& target : held.lost_targets) {
      if (++reports > kMaxHoldReports) {
        return;
      }
      peers_.ReportTo(host_id, target_loss_report{held.fingerprint, target});
    }
  }
}

void edge_daemon::OnTargetLeaving(const target_leaving_report& report) {
  state_.MarkLeaving({report.target_id, report.started_at_unix_ms});
}

void edge_daemon::OnHostsChanged() {
  state_.SetFleet({.serving_hosts = hosts_.BudgetedHostCount(),
                   .zone_count = hosts_.zone_count(),
                   .is_serving = hosts_.IsServing()},
                  options_.self.zone);
  const bool serves = hosts_.ServesWhenReady();
  if (serves && !serves_when_ready_ && !is_leaving_) {
    // Hosts of other zones received no announcement of this host while it did
    // not serve.
    peers_.Announce();
  }
  serves_when_ready_ = serves;
  const bool leads = has_host_list_ && hosts_.IsZoneLeader() && !is_leaving_;
  if (leads == is_leading_) {
    return;
  }
  is_leading_ = leads;
  leader_view_.reset();
  if (view_source_) {
    view_source_->SetLeading(leads);
  }
  PublishView();
}

host_view edge_daemon::OwnView() const {
  return {state_.rules() ? state_.rules()->rules().version : 0,
          state_.targets().Digest()};
}

void edge_daemon::PublishView() {
  if (!is_leading_ || is_leaving_) {
    return;
  }
  (void)RunGuarded("view", [this] {
    peers_.PublishView(OwnView());
    PublishSuspicions();
  });
  publish_timer_.expires_after(kViewInterval);
  publish_timer_.async_wait([this](const socket_error& error) {
    if (!error) {
      PublishView();
    }
  });
}

void edge_daemon::PublishSuspicions() {
  suspicion_summary summary;
  std::size_t bytes = 0;
  for (const suspicion_tracker::suspected_target& target :
       state_.evidence().MostSuspected(
           kMaxSummaryBytes / kSuspicionOverheadBytes, kMinPublishedSuspicion,
           time_.Now())) {
    bytes += target.id.size() + kSuspicionOverheadBytes;
    if (bytes > kMaxSummaryBytes) {
      break;
    }
    summary.targets.push_back(
        {target.id, target.started_at_unix_ms,
         static_cast<std::uint64_t>(target.suspicion * kThousandthsPerUnit)});
  }
  if (!summary.targets.empty()) {
    peers_.PublishSuspicions(summary);
  }
}

void edge_daemon::OnSuspicions(const suspicion_summary& summary) {
  // Serving hosts receive each report of an observation directly.
  if (hosts_.IsServing()) {
    return;
  }
  for (const target_suspicion& target : summary.targets) {
    state_.evidence().MergeRemoteSuspicion(
        {target.target_id, target.started_at_unix_ms},
        static_cast<double>(target.thousandths) / kThousandthsPerUnit,
        time_.Now());
  }
}

void edge_daemon::OnView(const host_view& view) {
  leader_view_ = view;
  if (view == OwnView()) {
    differing_checks_ = 0;
    return;
  }
  ScheduleViewCheck();
}

void edge_daemon::ScheduleViewCheck() {
  if (is_view_check_due_) {
    return;
  }
  is_view_check_due_ = true;
  view_timer_.expires_after(kViewCheckDelay);
  view_timer_.async_wait([this](const socket_error& error) {
    if (!error) {
      CheckView();
    }
  });
}

void edge_daemon::CheckView() {
  is_view_check_due_ = false;
  if (!leader_view_ || *leader_view_ == OwnView() || is_leading_) {
    differing_checks_ = 0;
    return;
  }
  // Restart the count for another version of the leader's rules: a measure that
  // did not resolve the older difference may resolve this one.
  if (checked_version_ != leader_view_->rules_version) {
    checked_version_ = leader_view_->rules_version;
    differing_checks_ = 0;
  }
  ++differing_checks_;
  log_.Write(log_level::kInfo, "view_differs",
             {{"check", differing_checks_},
              {"own_rules_version", OwnView().rules_version},
              {"leader_rules_version", leader_view_->rules_version}});
  if (view_source_) {
    const host_view own = OwnView();
    view_source_->OnViewDiffers(
        {.is_in_rules = own.rules_version != leader_view_->rules_version,
         .is_in_targets = own.targets_digest != leader_view_->targets_digest,
         .checks = differing_checks_});
  }
}

void edge_daemon::ScheduleMaintenance() {
  const time_point now = time_.Now();
  const std::optional<time_point> decision = state_.targets().NextDecision();
  maintenance_timer_.expires_at(
      std::clamp(decision.value_or(now + kMaintenanceInterval),
                 now + kMinMaintenanceInterval, now + kMaintenanceInterval));
  maintenance_timer_.async_wait([this](const socket_error& error) {
    if (!error) {
      (void)RunGuarded("maintenance", [this] { RunMaintenance(); });
      ScheduleMaintenance();
    }
  });
}

void edge_daemon::RunMaintenance() {
  const time_point now = time_.Now();
  state_.Forget();
  for (const target_change& change : state_.targets().Advance(now)) {
    LogTargetChange(change);
  }
}

void edge_daemon::Leave(std::function<void()> ended) {
  if (is_leaving_) {
    return;
  }
  is_leaving_ = true;
  on_leave_ended_ = std::move(ended);
  leave_started_at_ = time_.Now();
  gateway_.BeginLeaving();
  UpdateReadiness();
  peers_.AnnounceLeaving();
  log_.Write(log_level::kInfo, "host_leaving",
             {{"host", options_.self.id},
              {"unanswered", gateway_.UnansweredRequests()}});
  ContinueLeaving();
}

void edge_daemon::ContinueLeaving() {
  const std::size_t requests_in_flight = gateway_.UnansweredRequests();
  // A response that is not acknowledged yet may be lost with the process.
  const std::size_t unfinished =
      requests_in_flight > 0 ? requests_in_flight
                             : (gateway_.HasUnacknowledgedBytes() ? 1 : 0);
  const leave_phase phase = LeavePhaseAt(time_.Now() - leave_started_at_,
                                         unfinished, options_.leaving);
  if (phase == leave_phase::kEnded) {
    log_.Write(
        requests_in_flight == 0 ? log_level::kInfo : log_level::kWarning,
        "host_stopped",
        {{"host", options_.self.id}, {"cut_requests", requests_in_flight}});
    gateway_.CloseIdleSessions();
    on_leave_ended_();
    return;
  }
  if (phase == leave_phase::kRefusing) {
    gateway_.BeginRefusing();
  }
  leave_timer_.expires_after(kLeavePollInterval);
  leave_timer_.async_wait([this](const socket_error& error) {
    if (!error) {
      ContinueLeaving();
    }
  });
}

}  // namespace bulrushshore

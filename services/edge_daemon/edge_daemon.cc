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

// The leader of a zone publishes its view when a read of the store has
// confirmed it, and at this interval if none does.
constexpr duration kViewInterval = std::chrono::seconds(1);

// Delay after a confirmation, so that one datagram tells of both parts of the
// view if they are confirmed at nearly the same time.
constexpr duration kPublishDelay = std::chrono::milliseconds(20);

// Age of a view that was never confirmed.
constexpr duration kUnconfirmedAge = std::chrono::hours(1);

// After the first two reads that have not led to the view of another host, only
// every Nth one reads all objects.
constexpr int kListReadInterval = 8;

constexpr std::string_view PartName(view_part_name name) {
  return name == view_part_name::kRules ? "rules" : "targets";
}

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
      view_timer_(loop),
      rules_part_{
          .name = view_part_name::kRules,
          .part = {view_value_type::kVersion, time_.Now() - kUnconfirmedAge},
          .requested_at = {},
          .reads = 0},
      targets_part_{
          .name = view_part_name::kTargets,
          .part = {view_value_type::kDigest, time_.Now() - kUnconfirmedAge},
          .requested_at = {},
          .reads = 0},
      confirmed_by_others_at_(time_.Now()),
      reads_from_(time_.Now() + options.view_age.start_allowance) {}

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
  ScheduleReads();
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
    rules_part_.part.SetOwn(version);
    UpdateReadiness();
  }
}

void edge_daemon::ApplyTarget(const target_entry& entry) {
  LogTargetChange(state_.targets().Apply(entry, time_.Now()));
}

void edge_daemon::OnTargetChangesComplete() {
  targets_part_.part.SetOwn(state_.targets().Digest());
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
  OnTargetChangesComplete();
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
  const time_point confirmed_at = std::min(rules_part_.part.confirmed_at(),
                                           targets_part_.part.confirmed_at());
  metrics_
      .GetGauge("bulrush_view_age_ms",
                "Time since rules and targets were confirmed to be current.")
      .Set(ToMilliseconds(time_.Now() - confirmed_at).count());
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
  UpdateLeading();
}

void edge_daemon::UpdateLeading() {
  const bool leads = has_host_list_ && !is_leaving_ &&
                     (hosts_.IsZoneLeader() || leads_in_place_);
  if (leads == is_leading_) {
    return;
  }
  is_leading_ = leads;
  log_.Write(log_level::kInfo, leads ? "leading" : "not_leading",
             {{"zone", options_.self.zone}, {"in_place", leads_in_place_}});
  if (view_source_) {
    view_source_->SetLeading(leads);
  }
  SchedulePublish(kPublishDelay);
}

host_view edge_daemon::OwnView() const {
  const time_point now = time_.Now();
  const auto age_ms = [now](const tracked_part& tracked) {
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(
            now - tracked.part.confirmed_at())
            .count());
  };
  return {.rules_version = rules_part_.part.own(),
          .targets_digest = targets_part_.part.own(),
          .rules_age_ms = age_ms(rules_part_),
          .targets_age_ms = age_ms(targets_part_)};
}

void edge_daemon::SchedulePublish(duration delay) {
  is_publish_due_soon_ = delay < kViewInterval;
  publish_timer_.expires_after(delay);
  publish_timer_.async_wait([this](const socket_error& error) {
    if (!error) {
      PublishView();
    }
  });
}

void edge_daemon::PublishView() {
  is_publish_due_soon_ = false;
  if (!is_leading_ || is_leaving_) {
    return;
  }
  (void)RunGuarded("view", [this] {
    peers_.PublishView(OwnView());
    PublishSuspicions();
  });
  SchedulePublish(kViewInterval);
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

void edge_daemon::OnView(std::string_view host_id, const host_view& view) {
  if (view.rules_age_ms == host_view::kUnknownAge ||
      view.targets_age_ms == host_view::kUnknownAge) {
    return;
  }
  // Limits a value that would not fit into a time.
  constexpr std::uint64_t kMaxAgeMs = 3'600'000;
  const std::chrono::milliseconds rules_age(
      std::min(view.rules_age_ms, kMaxAgeMs));
  const std::chrono::milliseconds targets_age(
      std::min(view.targets_age_ms, kMaxAgeMs));
  OnHeard(rules_part_, view.rules_version, rules_age);
  OnHeard(targets_part_, view.targets_digest, targets_age);
  confirmed_by_others_at_ = std::max(
      confirmed_by_others_at_, time_.Now() - std::max(rules_age, targets_age));
  if (leads_in_place_ && !IsZoneUnconfirmed() && hosts_.IsAhead(host_id)) {
    leads_in_place_ = false;
    UpdateLeading();
  }
}

edge_daemon::tracked_part& edge_daemon::PartOf(view_part_name name) {
  return name == view_part_name::kRules ? rules_part_ : targets_part_;
}

void edge_daemon::OnHeard(tracked_part& tracked,
                          std::uint64_t value,
                          duration age) {
  tracked.part.OnHeard(value, time_.Now() - age);
  if (!IsReadDue(tracked.name)) {
    tracked.reads = 0;
    OnConfirmed(tracked);
  }
}

void edge_daemon::OnRead(view_part_name part,
                         time_point as_of,
                         bool is_complete_list) {
  tracked_part& tracked = PartOf(part);
  tracked.part.OnRead(as_of, is_complete_list);
  OnConfirmed(tracked);
  if (!is_leading_ && IsZoneUnconfirmed() && IsReady()) {
    leads_in_place_ = true;
    UpdateLeading();
  }
  if (is_leading_ && !is_publish_due_soon_) {
    SchedulePublish(kPublishDelay);
  }
}

void edge_daemon::OnConfirmed(tracked_part& tracked) {
  tracked.requested_at.reset();
  if (std::exchange(tracked.is_reported, false)) {
    LogOldPart(tracked, log_level::kInfo, "view_confirmed");
  }
}

bool edge_daemon::IsZoneUnconfirmed() const {
  return time_.Now() - confirmed_by_others_at_ >= options_.view_age.max_age;
}

bool edge_daemon::IsReadDue(view_part_name part) const {
  const tracked_part& tracked =
      part == view_part_name::kRules ? rules_part_ : targets_part_;
  return time_.Now() - tracked.part.confirmed_at() >= options_.view_age.max_age;
}

time_point edge_daemon::ReadDueAt(const tracked_part& tracked) const {
  const view_age_options& limits = options_.view_age;
  const duration delay = std::min(
      limits.max_delay,
      limits.delay_per_place * static_cast<std::int64_t>(hosts_.PlaceInZone()));
  const time_point due = std::max(
      reads_from_, tracked.part.confirmed_at() + limits.max_age + delay);
  return tracked.requested_at
             ? std::max(due, *tracked.requested_at + limits.retry_interval)
             : due;
}

void edge_daemon::ScheduleReads() {
  const time_point now = time_.Now();
  const time_point due =
      IsReady() ? std::min(ReadDueAt(rules_part_), ReadDueAt(targets_part_))
                : now + options_.view_age.max_age;
  view_timer_.expires_at(std::max(due, now + kMinMaintenanceInterval));
  view_timer_.async_wait([this](const socket_error& error) {
    if (!error) {
      (void)RunGuarded("view age", [this] { ReadOldParts(); });
      ScheduleReads();
    }
  });
}

void edge_daemon::LogOldPart(const tracked_part& tracked,
                             log_level level,
                             std::string_view event) {
  log_.Write(
      level, event,
      {{"part", PartName(tracked.name)},
       {"age_ms",
        ToMilliseconds(time_.Now() - tracked.part.confirmed_at()).count()},
       {"reads", tracked.reads},
       {"own", tracked.part.own()}});
}

void edge_daemon::ReadOldParts() {
  const time_point now = time_.Now();
  if (!IsReady() || !view_source_) {
    return;
  }
  for (tracked_part* tracked : {&rules_part_, &targets_part_}) {
    if (now < ReadDueAt(*tracked)) {
      continue;
    }
    if (!tracked->requested_at) {
      ++tracked->reads;
      LogOldPart(*tracked, log_level::kInfo, "view_read");
    } else if (!tracked->is_reported) {
      // The store did not answer the request before.
      tracked->is_reported = true;
      LogOldPart(*tracked, log_level::kWarning, "view_unconfirmed");
    }
    tracked->requested_at = now;
    view_source_->ReadCurrent(
        {.part = tracked->name,
         .is_list =
             tracked->reads == 2 || tracked->reads % kListReadInterval == 0,
         .is_store_doubtful = !is_leading_ && IsZoneUnconfirmed()});
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

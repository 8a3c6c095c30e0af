#include "libraries/dispatch/service_controller.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::size_t kRecentEvents = 20;
constexpr std::chrono::milliseconds kMinimumRetryAfter{100};
constexpr std::chrono::milliseconds kMaximumRetryAfter{10'000};

evidence_type EvidenceOf(attempt_result outcome) {
  switch (outcome) {
    case attempt_result::kSuccess:
      return evidence_type::kSuccess;
    case attempt_result::kServerError:
    case attempt_result::kConnectFailed:
    case attempt_result::kTruncatedAnswer:
      return evidence_type::kFailure;
    case attempt_result::kTimeout:
      return evidence_type::kTimeout;
    case attempt_result::kConnectionLost:
      return evidence_type::kConnectionLost;
    case attempt_result::kShed:
    case attempt_result::kStaleConnection:
    case attempt_result::kCancelledByCaller:
      return evidence_type::kNeutral;
  }
  return evidence_type::kNeutral;
}

std::chrono::milliseconds RetryAfter(duration wait) {
  return std::clamp(ToMilliseconds(wait), kMinimumRetryAfter,
                    kMaximumRetryAfter);
}

}  // namespace

service_controller::service_controller(std::string service,
                                       std::string local_zone,
                                       const service_policy& policy,
                                       std::unique_ptr<random_source> random)
    : service_name_(std::move(service)),
      policy_(policy),
      chooser_(policy.selector, std::move(local_zone), std::move(random)),
      targets_(policy.concurrency),
      detector_(policy.health),
      queue_(0),
      budget_(policy.retry_budget),
      classifier_(policy.classifier),
      guard_(policy.crash) {}

std::vector<acquire_decision> service_controller::Apply(
    std::shared_ptr<const catalog_snapshot> snapshot,
    time_point now) {
  decision_list decisions;
  snapshot_ = std::move(snapshot);
  const auto found = snapshot_->contents.services.find(service_name_);
  if (found == snapshot_->contents.services.end()) {
    rules_.reset();
    while (!waiting_.empty()) {
      const std::uint64_t request_id = waiting_.begin()->first;
      queue_.Remove(request_id);
      RefuseWaiting(request_id, refusal_reason::kUnknownService, decisions);
    }
  } else {
    rules_ = found->second;
    queue_.SetCapacity(rules_->queue_limit);
  }
  targets_.Apply(snapshot_->contents, service_name_);
  UpdateTargets(now);
  StartWaiting(now, decisions);
  return decisions;
}

std::vector<acquire_decision> service_controller::SetDrainingMachines(
    const std::set<std::string>& ips,
    time_point now) {
  decision_list decisions;
  targets_.SetDrainingMachines(ips);
  UpdateTargets(now);
  StartWaiting(now, decisions);
  return decisions;
}

std::vector<acquire_decision> service_controller::Acquire(
    std::uint64_t request_id,
    const acquire_request& request,
    time_point now) {
  decision_list decisions;
  const std::optional<refusal> refused = CheckAdmission(request, now);
  if (refused) {
    decisions.push_back({request_id, *refused});
    return decisions;
  }
  // Waiting work cannot start at the moment, because each change starts all
  // that can. A new request that can start therefore overtakes nobody.
  const std::optional<grant> started = TryStart(request, now);
  if (started) {
    decisions.push_back({request_id, *started});
    return decisions;
  }
  Enqueue(request_id, request, now, decisions);
  return decisions;
}

std::vector<acquire_decision> service_controller::Release(
    std::uint64_t grant_id,
    const attempt_report& report,
    time_point now) {
  decision_list decisions;
  const auto position = grants_.find(grant_id);
  if (position == grants_.end()) {
    return decisions;
  }
  const running_grant ended = std::move(position->second);
  grants_.erase(position);
  LearnFrom(ended, report, now);
  StartWaiting(now, decisions);
  return decisions;
}

void service_controller::Cancel(std::uint64_t request_id) {
  queue_.Remove(request_id);
  waiting_.erase(request_id);
}

std::vector<acquire_decision> service_controller::ReportProbe(
    std::string_view target,
    const probe_report& report,
    time_point now) {
  decision_list decisions;
  detector_.ReportProbe(target, report.is_success, now);
  if (report.is_success &&
      targets_.SetDrainingSignal(target, report.is_draining, now)) {
    UpdateTargets(now);
    StartWaiting(now, decisions);
  }
  return decisions;
}

void service_controller::RecordLoss(std::uint64_t fingerprint,
                                    std::string_view target,
                                    time_point now) {
  if (guard_.RecordLoss(fingerprint, target, now)) {
    hold_events_.push_back({fingerprint, std::string(target)});
  }
}

bool service_controller::ReleaseFingerprint(std::uint64_t fingerprint,
                                            time_point now) {
  return guard_.Release(fingerprint, now);
}

std::vector<acquire_decision> service_controller::Advance(time_point now) {
  decision_list decisions;
  for (const queued_request& expired : queue_.TakeExpired(now)) {
    RefuseWaiting(expired.id, refusal_reason::kQueueTimeout, decisions);
  }
  if (targets_.ExpireDrainingSignals(now)) {
    UpdateTargets(now);
  }
  detector_.Advance(now);
  StartWaiting(now, decisions);
  return decisions;
}

std::optional<time_point> service_controller::NextWakeup(time_point now) const {
  std::optional<time_point> next = queue_.NextExpiry();
  const auto consider = [&next](const std::optional<time_point>& candidate) {
    if (candidate && (!next || *candidate < *next)) {
      next = candidate;
    }
  };
  consider(detector_.NextDecision());
  consider(targets_.NextSignalExpiry());
  if (queue_.size() > 0) {
    for (const target_table::entry_map::value_type& entry :
         targets_.entries()) {
      consider(entry.second.limit.PausedUntil(now));
    }
  }
  return next;
}

service_status service_controller::Status(time_point now) const {
  service_status status;
  status.service = service_name_;
  status.now = now;
  status.slots_in_use = detector_.SlotsInUse();
  status.floor_slots = detector_.FloorSlots();
  status.queue_length = queue_.size();
  status.is_self_suspect = detector_.IsSelfSuspect();
  status.held_fingerprints = guard_.Held(now);
  status.recent_events.assign(recent_events_.begin(), recent_events_.end());
  for (const target_table::entry_map::value_type& entry : targets_.entries()) {
    const target_entry& known = entry.second;
    const target_health health = detector_.Health(entry.first, now);
    target_status target;
    target.name = entry.first;
    target.address = known.registered.address;
    target.zone = known.registered.zone;
    target.state = health.state;
    target.reason = health.reason;
    target.age = now - health.since;
    target.weight = health.weight;
    target.slots = known.registered.slots;
    target.in_flight = known.in_flight;
    target.concurrency_limit = known.limit.limit();
    target.reported_load = known.reported_load;
    const bool is_healthy = health.state == health_state::kHealthy ||
                            health.state == health_state::kSlowStart;
    status.healthy_slots += is_healthy ? known.registered.slots : 0;
    status.targets.push_back(std::move(target));
  }
  return status;
}

std::uint64_t service_controller::catalog_version() const {
  return snapshot_ ? snapshot_->version : 0;
}

std::vector<health_event> service_controller::TakeHealthEvents() {
  std::vector<health_event> events = detector_.TakeEvents();
  for (const health_event& event : events) {
    recent_events_.push_back(event);
    if (recent_events_.size() > kRecentEvents) {
      recent_events_.pop_front();
    }
  }
  return events;
}

std::vector<hold_event> service_controller::TakeHoldEvents() {
  return std::exchange(hold_events_, {});
}

std::optional<refusal> service_controller::CheckAdmission(
    const acquire_request& request,
    time_point now) {
  if (!rules_) {
    return refusal{refusal_reason::kUnknownService};
  }
  if (request.deadline <= now) {
    return refusal{refusal_reason::kDeadlineTooShort};
  }
  const std::optional<time_point> held_until =
      guard_.HeldUntil(request.fingerprint, now);
  if (held_until) {
    return refusal{refusal_reason::kHeldBack, RetryAfter(*held_until - now)};
  }
  if (request.attempt == 0) {
    budget_.RecordFirstAttempt();
  } else if (!budget_.TryTakeRetry()) {
    return refusal{refusal_reason::kRetryBudgetExhausted};
  }
  return std::nullopt;
}

std::optional<refusal> service_controller::CheckWait(
    const acquire_request& request,
    time_point deadline,
    double weight,
    time_point now) const {
  const std::optional<duration> mean = classifier_.MeanDuration();
  if (!policy_.is_wait_predicted || !mean) {
    return std::nullopt;
  }
  double concurrency = 0.0;
  for (const target_table::entry_map::value_type& entry : targets_.entries()) {
    const target_health health = detector_.Health(entry.first, now);
    concurrency += health.weight * entry.second.limit.limit();
  }
  if (concurrency <= 0.0) {
    return std::nullopt;
  }
  // By Little's law a slot becomes free each mean duration / concurrency.
  const double ahead = queue_.RequestsAhead(request.organisation, weight) + 1.0;
  const duration wait =
      std::chrono::duration_cast<duration>(*mean * (ahead / concurrency));
  const duration work =
      classifier_.ExpectedDuration(request.kind).value_or(duration::zero());
  if (now + wait + work > deadline || wait > rules_->patience) {
    return refusal{refusal_reason::kDeadlineTooShort, RetryAfter(wait)};
  }
  return std::nullopt;
}

void service_controller::Enqueue(std::uint64_t request_id,
                                 const acquire_request& request,
                                 time_point now,
                                 decision_list& decisions) {
  const time_point deadline =
      std::min<time_point>(request.deadline, now + rules_->timeout);
  const double weight = OrganisationWeight(request.organisation);
  std::optional<refusal> refused;
  if (!HasUsableTarget(request, now)) {
    refused = refusal{refusal_reason::kNoTarget};
  } else {
    refused = CheckWait(request, deadline, weight, now);
  }
  if (!refused) {
    queued_request queued;
    queued.id = request_id;
    queued.organisation = policy_.is_queue_fair ? request.organisation : "";
    queued.expires_at = std::min<time_point>(deadline, now + rules_->patience);
    queued.is_long = classifier_.IsLong(request.kind);
    const bool is_short = !queued.is_long;
    const request_queue::push_result pushed =
        queue_.Push(std::move(queued), weight);
    if (pushed.evicted_id) {
      RefuseWaiting(*pushed.evicted_id, refusal_reason::kQueueFull, decisions);
    }
    if (pushed.is_accepted) {
      waiting_.emplace(request_id, request);
      if (is_short) {
        short_work_waited_at_ = now;
      }
      return;
    }
    refused = refusal{refusal_reason::kQueueFull};
  }
  if (request.attempt > 0) {
    budget_.ReturnToken();
  }
  decisions.push_back({request_id, *refused});
}

void service_controller::RefuseWaiting(std::uint64_t request_id,
                                       refusal_reason reason,
                                       decision_list& decisions) {
  const auto position = waiting_.find(request_id);
  if (position == waiting_.end()) {
    return;
  }
  if (position->second.attempt > 0) {
    budget_.ReturnToken();
  }
  waiting_.erase(position);
  decisions.push_back({request_id, refusal{reason}});
}

std::optional<grant> service_controller::TryStart(
    const acquire_request& request,
    time_point now) {
  const work_class work{
      classifier_.IsLong(request.kind),
      policy_.is_long_work_limited && IsShortWorkWaiting(now)};
  const target_choice choice =
      chooser_.Choose(request, work, targets_, detector_, now);
  if (choice.entry == nullptr) {
    return std::nullopt;
  }
  target_entry& chosen = *choice.entry;
  ++chosen.in_flight;
  chosen.long_in_flight += work.is_long ? 1 : 0;
  chosen.has_trial_in_flight = chosen.has_trial_in_flight || choice.is_trial;
  grant started{next_grant_id_++, chosen.registered, choice.is_trial};
  grants_.emplace(
      started.id,
      running_grant{chosen.registered.name, chosen.generation, request.kind,
                    request.fingerprint, work.is_long, choice.is_trial});
  return started;
}

bool service_controller::IsShortWorkWaiting(time_point now) const {
  return queue_.short_count() > 0 ||
         (short_work_waited_at_ &&
          now - *short_work_waited_at_ < policy_.short_demand_memory);
}

bool service_controller::HasUsableTarget(const acquire_request& request,
                                         time_point now) const {
  return std::any_of(targets_.entries().begin(), targets_.entries().end(),
                     [&](const target_table::entry_map::value_type& entry) {
                       return detector_.Health(entry.first, now).weight > 0.0 &&
                              !IsExcluded(request, entry.first);
                     });
}

double service_controller::OrganisationWeight(
    std::string_view organisation) const {
  const bulrushshore::organisation* const known =
      snapshot_->contents.organisations.Find(organisation);
  return known == nullptr ? 1.0 : std::max<double>(1.0, known->weight);
}

void service_controller::StartWaiting(time_point now,
                                      decision_list& decisions) {
  // If a request without restrictions cannot start, no other one of its class
  // can; what holds for short work also holds for long work. This keeps the
  // cost of a full queue low.
  bool is_short_blocked = false;
  bool is_long_blocked = false;
  while (queue_.size() > 0 && !is_short_blocked) {
    std::optional<grant> started;
    const std::optional<queued_request> taken =
        queue_.TakeFirst([&](const queued_request& queued) {
          const acquire_request& request = waiting_.at(queued.id);
          const bool is_long = classifier_.IsLong(request.kind);
          if (is_short_blocked || (is_long && is_long_blocked)) {
            return false;
          }
          started = TryStart(request, now);
          const bool is_unrestricted =
              request.attempt == 0 && request.excluded_targets.empty();
          if (!started && is_unrestricted) {
            (is_long ? is_long_blocked : is_short_blocked) = true;
          }
          return started.has_value();
        });
    if (!taken) {
      return;
    }
    waiting_.erase(taken->id);
    decisions.push_back({taken->id, *started});
  }
}

void service_controller::LearnFrom(const running_grant& ended,
                                   const attempt_report& report,
                                   time_point now) {
  if (report.outcome == attempt_result::kSuccess) {
    classifier_.Record(ended.kind, report.elapsed);
    guard_.RecordCompleted(ended.fingerprint, now);
  }
  // A crash also closes pooled connections. That a stale one was closed for
  // another reason shows when the request is answered on the next one.
  const bool is_lost = report.outcome == attempt_result::kConnectionLost ||
                       report.outcome == attempt_result::kStaleConnection;
  if (is_lost && report.may_have_started) {
    RecordLoss(ended.fingerprint, ended.target, now);
  }
  detector_.Report(ended.target,
                   evidence{EvidenceOf(report.outcome), ended.kind,
                            report.elapsed, ended.is_trial},
                   now);
  target_entry* const entry = targets_.Find(ended.target);
  if (entry == nullptr || entry->generation != ended.generation) {
    return;
  }
  if (report.outcome == attempt_result::kShed) {
    entry->limit.RecordShed(entry->in_flight, now);
  } else if (report.outcome == attempt_result::kSuccess) {
    entry->limit.RecordCompleted(entry->in_flight);
  }
  --entry->in_flight;
  entry->long_in_flight -= ended.is_long ? 1 : 0;
  if (ended.is_trial) {
    entry->has_trial_in_flight = false;
  }
  entry->reported_load = report.reported_load.value_or(entry->reported_load);
  if (report.is_draining &&
      targets_.SetDrainingSignal(ended.target, true, now)) {
    UpdateTargets(now);
  }
}

void service_controller::UpdateTargets(time_point now) {
  const std::uint32_t floor_percent =
      rules_ ? std::min<std::uint32_t>(100, rules_->floor_percent) : 0;
  detector_.SetTargets(targets_.Monitored(), floor_percent, now);
}

}  // namespace bulrushshore

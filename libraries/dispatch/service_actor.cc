#include "libraries/dispatch/service_actor.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

// A wake-up is not asked for sooner than this, so that rounding of times
// cannot make the actor spin.
constexpr duration kMinimumWakeupDelay = std::chrono::milliseconds(1);

}  // namespace

acquire_ticket::acquire_ticket(acquire_request request)
    : request_(std::move(request)) {}

acquire_ticket::~acquire_ticket() {
  Deliver(refusal{refusal_reason::kShuttingDown});
}

std::future<acquire_outcome> acquire_ticket::Outcome() {
  return promise_.get_future();
}

bool acquire_ticket::Deliver(const acquire_outcome& outcome) {
  if (is_closed_.exchange(true)) {
    return false;
  }
  promise_.set_value(outcome);
  return true;
}

bool acquire_ticket::Abandon() {
  return !is_closed_.exchange(true);
}

service_actor::service_actor(caf::actor_config& config,
                             std::unique_ptr<service_controller> controller,
                             std::unique_ptr<dispatch_telemetry> telemetry,
                             std::shared_ptr<service_signals> signals)
    : caf::event_based_actor(config),
      controller_(std::move(controller)),
      telemetry_(std::move(telemetry)),
      signals_(std::move(signals)) {}

caf::behavior service_actor::make_behavior() {
  return {
      [this](const acquire_message& message) { OnAcquire(message); },
      [this](const cancel_message& message) { OnCancel(message); },
      [this](const release_message& message) {
        Finish(controller_->Release(message.grant_id, message.report, Now()));
      },
      [this](const apply_message& message) {
        Finish(controller_->Apply(message.snapshot, Now()));
      },
      [this](const draining_machines_message& message) {
        Finish(controller_->SetDrainingMachines(*message.ips, Now()));
      },
      [this](const probe_message& message) {
        Finish(controller_->ReportProbe(message.target, message.report, Now()));
      },
      [this](const release_fingerprint_message& message) {
        OnReleaseFingerprint(message);
      },
      [this](const losses_message& message) { OnLosses(message); },
      [this](const status_message& message) {
        message.answer->set_value(controller_->Status(Now()));
      },
      [this](const wakeup_message& message) { OnWakeup(message); },
  };
}

void service_actor::on_exit() {
  for (std::unordered_map<std::uint64_t,
                          std::shared_ptr<acquire_ticket>>::value_type& entry :
       tickets_) {
    entry.second->Deliver(refusal{refusal_reason::kShuttingDown});
  }
  tickets_.clear();
  ticket_ids_.clear();
}

time_point service_actor::Now() const {
  return home_system().clock().now();
}

void service_actor::OnAcquire(const acquire_message& message) {
  const std::uint64_t request_id = next_request_id_++;
  tickets_.emplace(request_id, message.ticket);
  ticket_ids_.emplace(message.ticket.get(), request_id);
  Finish(controller_->Acquire(request_id, message.ticket->request(), Now()));
}

void service_actor::OnCancel(const cancel_message& message) {
  const auto position = ticket_ids_.find(message.ticket.get());
  if (position == ticket_ids_.end()) {
    return;
  }
  const std::uint64_t request_id = position->second;
  ticket_ids_.erase(position);
  tickets_.erase(request_id);
  controller_->Cancel(request_id);
}

void service_actor::OnReleaseFingerprint(
    const release_fingerprint_message& message) {
  const bool was_held =
      controller_->ReleaseFingerprint(message.fingerprint, Now());
  if (was_held) {
    telemetry_->RecordReleasedFingerprint(message.fingerprint,
                                          controller_->catalog_version());
  }
  message.was_held->set_value(was_held);
}

void service_actor::OnLosses(const losses_message& message) {
  for (const std::string& target : message.targets) {
    controller_->RecordLoss(message.fingerprint, target, Now());
  }
  PublishEvents();
}

void service_actor::OnWakeup(const wakeup_message& message) {
  if (wakeup_at_ && message.at >= *wakeup_at_) {
    wakeup_at_.reset();
  }
  Finish(controller_->Advance(Now()));
}

void service_actor::Finish(decision_list decisions) {
  // A decision whose thread has given up frees its slot, which may lead to
  // further decisions.
  while (!decisions.empty()) {
    decision_list following;
    for (const acquire_decision& decision : decisions) {
      const auto position = tickets_.find(decision.request_id);
      if (position == tickets_.end()) {
        continue;
      }
      const std::shared_ptr<acquire_ticket> ticket = position->second;
      tickets_.erase(position);
      ticket_ids_.erase(ticket.get());
      telemetry_->RecordDecision(ticket->request(), decision.outcome);
      const grant* const granted = std::get_if<grant>(&decision.outcome);
      if (granted != nullptr) {
        signals_->last_grant_ticks = Now().time_since_epoch().count();
      }
      if (!ticket->Deliver(decision.outcome) && granted != nullptr) {
        attempt_report report;
        report.outcome = attempt_result::kCancelledByCaller;
        decision_list freed = controller_->Release(granted->id, report, Now());
        std::move(freed.begin(), freed.end(), std::back_inserter(following));
      }
    }
    decisions = std::move(following);
  }
  PublishEvents();
  ScheduleWakeup();
}

void service_actor::PublishEvents() {
  const std::uint64_t version = controller_->catalog_version();
  for (const health_event& event : controller_->TakeHealthEvents()) {
    telemetry_->RecordHealthEvent(event, version);
  }
  for (const hold_event& event : controller_->TakeHoldEvents()) {
    telemetry_->RecordHold(event, version);
  }
  signals_->is_self_suspect = controller_->IsSelfSuspect();
  telemetry_->Publish(*controller_);
}

void service_actor::ScheduleWakeup() {
  const time_point now = Now();
  const std::optional<time_point> next = controller_->NextWakeup(now);
  if (!next || (wakeup_at_ && *wakeup_at_ <= *next)) {
    return;
  }
  const duration delay = std::max<duration>(kMinimumWakeupDelay, *next - now);
  wakeup_at_ = now + delay;
  delayed_send(this, delay, wakeup_message{*wakeup_at_});
}

}  // namespace bulrushshore

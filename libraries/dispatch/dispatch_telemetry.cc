#include "libraries/dispatch/dispatch_telemetry.h"

#include <cstdio>
#include <utility>

#include "libraries/base/random_source.h"
#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

std::string FormatFigures(const health_event& event) {
  std::array<char, 320> buffer{};
  const health_evidence& figures = event.figures;
  std::snprintf(
      buffer.data(), buffer.size(),
      "reason=%s samples=%.0f failure_share=%.3f peer_failure_share=%.3f "
      "failure_score=%.1f slowness_score=%.1f slots_in_use=%u floor_slots=%u "
      "ejection_ms=%lld",
      std::string(HealthReasonName(event.reason)).c_str(), figures.samples,
      figures.failure_share, figures.peer_failure_share, figures.failure_score,
      figures.slowness_score, figures.slots_in_use, figures.floor_slots,
      static_cast<long long>(ToMilliseconds(event.ejection_time).count()));
  return std::string(buffer.data());
}

}  // namespace

dispatch_telemetry::dispatch_telemetry(std::string service,
                                       std::string host_id,
                                       audit_log& audit,
                                       metric_registry& metrics)
    : service_(std::move(service)),
      host_id_(std::move(host_id)),
      audit_(audit),
      metrics_(metrics),
      grants_(metrics.GetCounter("bulrush_dispatch_grants_total",
                                 "Requests that were given to a target.",
                                 {{"service", service_}})),
      trials_(metrics.GetCounter("bulrush_dispatch_trials_total",
                                 "Trial requests to ejected targets.",
                                 {{"service", service_}})),
      retries_(metrics.GetCounter("bulrush_dispatch_retries_total",
                                  "Attempts after the first one.",
                                  {{"service", service_}})),
      queue_length_(metrics.GetGauge("bulrush_dispatch_queue_length",
                                     "Requests waiting for a slot.",
                                     {{"service", service_}})),
      in_flight_(metrics.GetGauge("bulrush_dispatch_in_flight",
                                  "Requests running on targets.",
                                  {{"service", service_}})),
      slots_in_use_(metrics.GetGauge("bulrush_dispatch_slots_in_use",
                                     "Slots of the targets in use.",
                                     {{"service", service_}})),
      floor_slots_(metrics.GetGauge("bulrush_dispatch_floor_slots",
                                    "Slots that ejections leave in use.",
                                    {{"service", service_}})),
      self_suspect_(
          metrics.GetGauge("bulrush_dispatch_self_suspect",
                           "1 while most targets look unhealthy to this host.",
                           {{"service", service_}})) {}

void dispatch_telemetry::RecordDecision(const acquire_request& request,
                                        const acquire_outcome& outcome) {
  const grant* const granted = std::get_if<grant>(&outcome);
  if (granted == nullptr) {
    RefusalCounter(std::get<refusal>(outcome).reason).Increment();
    return;
  }
  grants_.Increment();
  if (request.attempt > 0) {
    retries_.Increment();
  }
  if (granted->is_trial) {
    trials_.Increment();
  }
}

void dispatch_telemetry::RecordHealthEvent(const health_event& event,
                                           std::uint64_t version) {
  metrics_
      .GetCounter("bulrush_dispatch_health_events_total",
                  "Decisions about the health of targets and of this host.",
                  {{"service", service_},
                   {"event", std::string(HealthEventTypeName(event.type))},
                   {"reason", std::string(HealthReasonName(event.reason))}})
      .Increment();
  const std::string subject =
      event.target.empty() ? service_ : service_ + "/" + event.target;
  Append(std::string(HealthEventTypeName(event.type)), subject,
         FormatFigures(event), version);
}

void dispatch_telemetry::RecordHold(const hold_event& event,
                                    std::uint64_t version) {
  metrics_
      .GetCounter("bulrush_dispatch_held_fingerprints_total",
                  "Requests held back because they crashed targets.",
                  {{"service", service_}})
      .Increment();
  Append("fingerprint_held", service_ + "/" + FormatHex(event.fingerprint),
         "last_target=" + event.last_target, version);
}

void dispatch_telemetry::RecordReleasedFingerprint(std::uint64_t fingerprint,
                                                   std::uint64_t version) {
  Append("fingerprint_released", service_ + "/" + FormatHex(fingerprint),
         "reason=operator", version);
}

void dispatch_telemetry::Publish(const service_controller& controller) {
  queue_length_.Set(static_cast<std::int64_t>(controller.queue_length()));
  in_flight_.Set(static_cast<std::int64_t>(controller.in_flight()));
  slots_in_use_.Set(controller.slots_in_use());
  floor_slots_.Set(controller.floor_slots());
  self_suspect_.Set(controller.IsSelfSuspect() ? 1 : 0);
}

void dispatch_telemetry::Append(std::string action,
                                std::string subject,
                                std::string detail,
                                std::uint64_t version) {
  LogEvent(log_level::kInfo, action,
           {{"subject", subject}, {"detail", detail}});
  audit_record record;
  record.unix_time_ms = CurrentUnixTimeMs();
  record.actor = host_id_;
  record.action = std::move(action);
  record.subject = std::move(subject);
  record.detail = std::move(detail);
  record.catalog_version = version;
  audit_.Append(std::move(record));
}

counter& dispatch_telemetry::RefusalCounter(refusal_reason reason) {
  counter*& known = refusals_[reason];
  if (known == nullptr) {
    known = &metrics_.GetCounter(
        "bulrush_dispatch_refusals_total",
        "Requests refused before they started.",
        {{"service", service_},
         {"reason", std::string(RefusalReasonName(reason))}});
  }
  return *known;
}

}  // namespace bulrushshore

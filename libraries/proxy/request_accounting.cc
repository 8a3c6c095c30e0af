#include "libraries/proxy/request_accounting.h"

#include <algorithm>

#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

constexpr int kFirstServerError = 500;

bool IsFailed(const request_record& record) {
  return record.kind != outcome_kind::kAnswered ||
         record.status >= kFirstServerError;
}

}  // namespace

request_accounting::request_accounting(metric_registry& metrics)
    : metrics_(metrics) {}

void request_accounting::Add(const request_record& record) {
  const std::string outcome_name(OutcomeKindName(record.kind));
  metrics_
      .GetCounter("bulrush_proxy_requests_total",
                  "Requests by service, outcome and reason.",
                  {{"service", record.service},
                   {"outcome", outcome_name},
                   {"reason", record.reason}})
      .Increment();
  metrics_
      .GetCounter("bulrush_proxy_request_microseconds_total",
                  "Time from the end of reading to the response.",
                  {{"service", record.service}})
      .Increment(static_cast<std::uint64_t>(std::max<std::int64_t>(
          0,
          std::chrono::duration_cast<std::chrono::microseconds>(record.elapsed)
              .count())));
  metrics_
      .GetCounter("bulrush_proxy_attempts_total",
                  "Attempts at targets, retries included.",
                  {{"service", record.service}})
      .Increment(record.attempts);
  if (record.is_forwarded_away) {
    metrics_
        .GetCounter("bulrush_proxy_forwarded_requests_total",
                    "Requests forwarded to the owner of their key.")
        .Increment();
  }
  if (record.is_stored_response) {
    metrics_
        .GetCounter(
            "bulrush_proxy_stored_responses_total",
            "Requests answered with the response of an earlier attempt.")
        .Increment();
  }
  LogEvent(IsFailed(record) ? log_level::kInfo : log_level::kDebug, "request",
           {{"request_id", record.request_id},
            {"method", record.method},
            {"path", record.path},
            {"service", record.service},
            {"route", record.route},
            {"organisation", record.organisation},
            {"target", record.target},
            {"attempts", record.attempts},
            {"forwarded_here", record.is_forwarded_here},
            {"forwarded_away", record.is_forwarded_away},
            {"stored_response", record.is_stored_response},
            {"outcome", outcome_name},
            {"reason", record.reason},
            {"status", record.status},
            {"duration_ms", ToMilliseconds(record.elapsed).count()}});
}

void request_accounting::AddUnread(failure_point point) {
  const outcome result = OutcomeOf(point);
  metrics_
      .GetCounter("bulrush_proxy_requests_total",
                  "Requests by service, outcome and reason.",
                  {{"service", ""},
                   {"outcome", std::string(OutcomeKindName(result.kind))},
                   {"reason", std::string(result.reason)}})
      .Increment();
  LogEvent(log_level::kInfo, "request_not_read",
           {{"outcome", std::string(OutcomeKindName(result.kind))},
            {"reason", std::string(result.reason)},
            {"status", result.status}});
}

}  // namespace bulrushshore

#include "libraries/gateway/gateway_telemetry.h"

#include <functional>

namespace bulrushshore {
namespace {

// One in this many ordinary requests is logged. The sample depends only on the
// attempt id, so that all hosts log the same requests.
constexpr std::size_t kSampleInterval = 32;

bool IsSampled(std::string_view attempt_id) {
  return std::hash<std::string_view>()(attempt_id) % kSampleInterval == 0;
}

}  // namespace

gateway_telemetry::gateway_telemetry(bounded_log& log, metric_registry& metrics)
    : log_(log), metrics_(metrics) {}

void gateway_telemetry::OnFinished(const request_summary& summary) {
  metrics_
      .GetCounter("bulrush_requests_total", "Finished requests by outcome.",
                  {{"outcome", std::string(summary.outcome)},
                   {"reason", std::string(summary.reason)}})
      .Increment();
  metrics_
      .GetHistogram("bulrush_request_seconds",
                    "Time from the request's arrival to its answer.")
      .Observe(std::chrono::duration<double>(summary.elapsed).count());
  const bool is_ordinary = summary.outcome == "answered";
  if (is_ordinary && summary.attempts <= 1 && !IsSampled(summary.attempt_id)) {
    return;
  }
  log_.Write(is_ordinary ? log_level::kInfo : log_level::kWarning,
             "request_finished",
             {{"request", summary.attempt_id},
              {"route", summary.route},
              {"service", summary.service},
              {"target", summary.target},
              {"outcome", summary.outcome},
              {"reason", summary.reason},
              {"status", summary.status},
              {"attempts", summary.attempts},
              {"rules_version", summary.rules_version},
              {"elapsed_ms", ToMilliseconds(summary.elapsed).count()}});
}

void gateway_telemetry::OnAttemptFailed(std::string_view attempt_id,
                                        std::string_view target,
                                        target_observation observation,
                                        double suspicion_before,
                                        duration elapsed) {
  metrics_
      .GetCounter(
          "bulrush_attempt_failures_total",
          "Attempts that did not succeed, by what was observed.",
          {{"observation", std::string(TargetObservationName(observation))}})
      .Increment();
  log_.Write(log_level::kInfo, "attempt_failed",
             {{"request", attempt_id},
              {"target", target},
              {"observation", TargetObservationName(observation)},
              {"suspicion_before", suspicion_before},
              {"elapsed_ms", ToMilliseconds(elapsed).count()}});
}

void gateway_telemetry::OnAttemptSent(std::string_view attempt_id,
                                      std::string_view target,
                                      std::uint32_t attempt,
                                      double suspicion,
                                      std::string_view cause) {
  metrics_
      .GetCounter("bulrush_attempts_total", "Attempts by their cause.",
                  {{"cause", std::string(cause)}})
      .Increment();
  if (attempt <= 1 && !IsSampled(attempt_id)) {
    return;
  }
  log_.Write(log_level::kInfo, "request_placed",
             {{"request", attempt_id},
              {"target", target},
              {"attempt", attempt},
              {"suspicion", suspicion},
              {"cause", cause}});
}

}  // namespace bulrushshore

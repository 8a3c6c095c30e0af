#ifndef LIBRARIES_GATEWAY_GATEWAY_TELEMETRY_H_
#define LIBRARIES_GATEWAY_GATEWAY_TELEMETRY_H_

#include <string>
#include <string_view>

#include "libraries/base/clock.h"
#include "libraries/placement/suspicion_tracker.h"
#include "libraries/telemetry/bounded_log.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

// The fields of the log line and the metrics of one finished request.
struct request_summary {
  std::string_view attempt_id;
  std::string_view route;
  std::string_view service;
  std::string_view target;
  // "answered", "not_run", "unknown", "refused" or "caller_gone".
  std::string_view outcome;
  std::string_view reason;
  int status = 0;
  std::uint32_t attempts = 0;
  std::uint64_t rules_version = 0;
  duration elapsed{};
};

// Writes the log lines and metrics of the request path. Not thread safe.
class gateway_telemetry {
 public:
  // Precondition: `log` and `metrics` outlive this object.
  gateway_telemetry(bounded_log& log, metric_registry& metrics);

  // Records the end of a request. Requests that were answered at the first
  // attempt are logged only for a sample of attempt ids.
  void OnFinished(const request_summary& summary);

  // Records an attempt that did not succeed. `suspicion_before` is the target's
  // suspicion before this failure: a score of recent failures, 0 for a target
  // that is not suspected.
  void OnAttemptFailed(std::string_view attempt_id,
                       std::string_view target,
                       target_observation observation,
                       double suspicion_before,
                       duration elapsed);

  // Records that an attempt is sent to a target. `attempt` counts from 1;
  // first attempts are logged only for a sample of attempt ids.
  void OnAttemptSent(std::string_view attempt_id,
                     std::string_view target,
                     std::uint32_t attempt,
                     double suspicion,
                     std::string_view cause);

  bounded_log& log() { return log_; }
  metric_registry& metrics() { return metrics_; }

 private:
  bounded_log& log_;
  metric_registry& metrics_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_GATEWAY_TELEMETRY_H_

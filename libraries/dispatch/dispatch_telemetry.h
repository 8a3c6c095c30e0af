#ifndef LIBRARIES_DISPATCH_DISPATCH_TELEMETRY_H_
#define LIBRARIES_DISPATCH_DISPATCH_TELEMETRY_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "libraries/dispatch/dispatcher.h"
#include "libraries/dispatch/service_controller.h"
#include "libraries/health/health_types.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

// Writes the decisions about one service to the audit log and to the counters
// that docs/metrics.md lists under "Dispatch". Not thread safe.
class dispatch_telemetry {
 public:
  // Precondition: `audit` and `metrics` outlive this object.
  dispatch_telemetry(std::string service,
                     std::string host_id,
                     audit_log& audit,
                     metric_registry& metrics);

  void RecordDecision(const acquire_request& request,
                      const acquire_outcome& outcome);
  void RecordHealthEvent(const health_event& event, std::uint64_t version);
  void RecordHold(const hold_event& event, std::uint64_t version);
  void RecordReleasedFingerprint(std::uint64_t fingerprint,
                                 std::uint64_t version);

  // Publishes the sizes of the service's state.
  void Publish(const service_controller& controller);

 private:
  void Append(std::string action,
              std::string subject,
              std::string detail,
              std::uint64_t version);
  counter& RefusalCounter(refusal_reason reason);

  std::string service_;
  std::string host_id_;
  audit_log& audit_;
  metric_registry& metrics_;
  counter& grants_;
  counter& trials_;
  counter& retries_;
  gauge& queue_length_;
  gauge& in_flight_;
  gauge& slots_in_use_;
  gauge& floor_slots_;
  gauge& self_suspect_;
  std::map<refusal_reason, counter*> refusals_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_DISPATCH_DISPATCH_TELEMETRY_H_

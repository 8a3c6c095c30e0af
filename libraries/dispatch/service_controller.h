#ifndef LIBRARIES_DISPATCH_SERVICE_CONTROLLER_H_
#define LIBRARIES_DISPATCH_SERVICE_CONTROLLER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/admission/crash_guard.h"
#include "libraries/admission/request_queue.h"
#include "libraries/admission/retry_budget.h"
#include "libraries/admission/work_classifier.h"
#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/catalog/types.h"
#include "libraries/dispatch/dispatcher.h"
#include "libraries/dispatch/service_policy.h"
#include "libraries/dispatch/service_status.h"
#include "libraries/dispatch/target_chooser.h"
#include "libraries/dispatch/target_table.h"
#include "libraries/health/outlier_detector.h"

namespace bulrushshore {

// The answer to an earlier or to the present acquire request.
struct acquire_decision {
  std::uint64_t request_id = 0;
  acquire_outcome outcome;
};

// What an active probe saw.
struct probe_report {
  bool is_success = false;
  bool is_draining = false;
};

// A request that was just found to crash targets.
struct hold_event {
  std::uint64_t fingerprint = 0;
  std::string last_target;
};

// All decisions of one host about one service: who may run, where, who waits
// and who is refused. It reads no clock and does no I/O; each call states the
// time, which must not go backwards. Not thread safe.
class service_controller {
 public:
  // Precondition: `policy.selector` is known to MakeTargetSelector().
  service_controller(std::string service,
                     std::string local_zone,
                     const service_policy& policy,
                     std::unique_ptr<random_source> random);

  // Puts a configuration in force. Work in flight on a withdrawn target ends
  // normally. If the service itself is withdrawn, waiting work is refused.
  // Precondition: `snapshot` is not null.
  std::vector<acquire_decision> Apply(
      std::shared_ptr<const catalog_snapshot> snapshot,
      time_point now);

  // Sets the IP addresses of the machines that are leaving.
  std::vector<acquire_decision> SetDrainingMachines(
      const std::set<std::string>& ips,
      time_point now);

  // Enters a request. The decision about it is among the returned ones or
  // follows from a later call. Precondition: `request_id` is unique.
  std::vector<acquire_decision> Acquire(std::uint64_t request_id,
                                        const acquire_request& request,
                                        time_point now);

  // Ends a grant; unknown grants are ignored.
  std::vector<acquire_decision> Release(std::uint64_t grant_id,
                                        const attempt_report& report,
                                        time_point now);

  // Removes a waiting request whose caller is gone.
  void Cancel(std::uint64_t request_id);

  // Enters the result of an active probe.
  std::vector<acquire_decision> ReportProbe(std::string_view target,
                                            const probe_report& report,
                                            time_point now);

  // Enters that `target` closed the connection while it ran the request, as
  // this or another host has seen.
  void RecordLoss(std::uint64_t fingerprint,
                  std::string_view target,
                  time_point now);

  // Ends the hold of a request that crashed targets; returns false if it was
  // not held back.
  bool ReleaseFingerprint(std::uint64_t fingerprint, time_point now);

  // Makes the decisions that only depend on the time.
  std::vector<acquire_decision> Advance(time_point now);

  // Returns when Advance() is due.
  std::optional<time_point> NextWakeup(time_point now) const;

  service_status Status(time_point now) const;

  bool IsSelfSuspect() const { return detector_.IsSelfSuspect(); }
  std::size_t queue_length() const { return queue_.size(); }
  std::size_t in_flight() const { return grants_.size(); }
  std::uint32_t slots_in_use() const { return detector_.SlotsInUse(); }
  std::uint32_t floor_slots() const { return detector_.FloorSlots(); }
  std::uint64_t catalog_version() const;

  // Return and clear the events since the last call.
  std::vector<health_event> TakeHealthEvents();
  std::vector<hold_event> TakeHoldEvents();

 private:
  struct running_grant {
    std::string target;
    std::uint64_t generation = 0;
    std::string kind;
    std::uint64_t fingerprint = 0;
    bool is_long = false;
    bool is_trial = false;
  };
  using decision_list = std::vector<acquire_decision>;

  std::optional<refusal> CheckAdmission(const acquire_request& request,
                                        time_point now);
  std::optional<refusal> CheckWait(const acquire_request& request,
                                   time_point deadline,
                                   double weight,
                                   time_point now) const;
  void Enqueue(std::uint64_t request_id,
               const acquire_request& request,
               time_point now,
               decision_list& decisions);
  void RefuseWaiting(std::uint64_t request_id,
                     refusal_reason reason,
                     decision_list& decisions);
  std::optional<grant> TryStart(const acquire_request& request, time_point now);
  bool IsShortWorkWaiting(time_point now) const;
  bool HasUsableTarget(const acquire_request& request, time_point now) const;
  double OrganisationWeight(std::string_view organisation) const;
  void StartWaiting(time_point now, decision_list& decisions);
  void LearnFrom(const running_grant& ended,
                 const attempt_report& report,
                 time_point now);
  void UpdateTargets(time_point now);

  std::string service_name_;
  service_policy policy_;
  target_chooser chooser_;
  std::shared_ptr<const catalog_snapshot> snapshot_;
  std::optional<service> rules_;
  target_table targets_;
  outlier_detector detector_;
  request_queue queue_;
  retry_budget budget_;
  work_classifier classifier_;
  crash_guard guard_;
  std::unordered_map<std::uint64_t, acquire_request> waiting_;
  std::unordered_map<std::uint64_t, running_grant> grants_;
  std::uint64_t next_grant_id_ = 1;
  std::optional<time_point> short_work_waited_at_;
  std::vector<health_event> new_events_;
  std::deque<health_event> recent_events_;
  std::vector<hold_event> hold_events_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_DISPATCH_SERVICE_CONTROLLER_H_

#ifndef LIBRARIES_GATEWAY_GATEWAY_STATE_H_
#define LIBRARIES_GATEWAY_GATEWAY_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "libraries/admission/crash_guard.h"
#include "libraries/admission/retry_window.h"
#include "libraries/admission/work_classifier.h"
#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/gateway/gateway_telemetry.h"
#include "libraries/gateway/response_evaluation.h"
#include "libraries/gateway/target_connection_pool.h"
#include "libraries/gateway/target_signals.h"
#include "libraries/placement/floor_keeper.h"
#include "libraries/placement/rest_schedule.h"
#include "libraries/placement/suspicion_tracker.h"
#include "libraries/placement/target_chooser.h"
#include "libraries/rules/rule_index.h"
#include "libraries/targets/target_registry.h"

namespace bulrushshore {

// Sends this host's observations of targets to the other hosts. All methods are
// called on the event loop's thread.
class evidence_reporter {
 public:
  virtual ~evidence_reporter() = default;

  // Reports to the other hosts that a request to `target` was unsuccessful.
  virtual void ReportObservation(const suspicion_tracker::target_key& target,
                                 target_observation observation) = 0;

  // Reports to the other hosts that a target closed the connection while it ran
  // the request with this fingerprint; see FingerprintOf() in
  // libraries/http/request_fingerprint.h.
  virtual void ReportLoss(std::uint64_t fingerprint,
                          std::string_view target_id,
                          loss_evidence evidence) = 0;

  // Reports to the other hosts that `target` has announced that it is leaving.
  virtual void ReportLeaving(const suspicion_tracker::target_key& target) = 0;
};

struct gateway_options {
  gateway_header_names headers;
  // Limit on the retries that the whole fleet may send for a service within
  // `retry_window`: `retry_ratio` times the requests plus `retry_allowance`.
  double retry_ratio = 0.2;
  double retry_allowance = 10.0;
  duration retry_window = std::chrono::seconds(10);
  target_chooser_options placement;
  suspicion_options evidence;
  target_registry_options registry;
  crash_guard_options crash_guard;
  connection_pool_options connections;
  // Limits the time for which a target can ask this host to send nothing.
  duration max_target_rest = std::chrono::seconds(60);
};

// The number of serving hosts and of their zones, and whether this host serves.
// Used to divide the load and the retry allowance.
struct fleet_state {
  std::size_t serving_hosts = 1;
  // Zones that have serving hosts.
  std::size_t zone_count = 1;
  // Whether this host is one of the serving hosts.
  bool is_serving = true;
};

// State that all requests of this host share: the rules in force, the targets
// and the evidence about them, retry budgets and connections to targets. All
// methods are called on the event loop's thread. Not thread safe.
class gateway_state {
 public:
  // Precondition: the references outlive this object.
  gateway_state(boost::asio::io_context& loop,
                const clock& time,
                random_source& random,
                gateway_telemetry& telemetry,
                evidence_reporter& reporter,
                const gateway_options& options);

  // Replaces the rules in force by `rules`. Returns false and keeps the current
  // rules if the version of `rules` is not newer.
  bool SetRules(std::shared_ptr<const rule_set> rules);

  // Returns the rules in force, or null if none were set yet.
  const std::shared_ptr<const rule_index>& rules() const { return rules_; }

  // Sets the size of the fleet and the zone of this host, and adapts the retry
  // budgets to them.
  void SetFleet(const fleet_state& fleet, std::string_view zone);

  target_registry& targets() { return targets_; }
  const target_registry& targets() const { return targets_; }
  suspicion_tracker& evidence() { return evidence_; }
  crash_guard& crashes() { return crashes_; }
  work_classifier& durations() { return durations_; }
  target_connection_pool& connections() { return connections_; }
  gateway_telemetry& telemetry() { return telemetry_; }
  random_source& random() { return random_; }
  boost::asio::io_context& loop() { return loop_; }
  const clock& time() const { return time_; }
  const gateway_options& options() const { return options_; }

  // Returns the retries of a service, advanced to the current time. The
  // reference stays valid as long as this object.
  retry_window& RetriesOf(std::string_view service);

  // Advances the retries of a service to the current time. Must be called
  // before a retry is taken.
  void AdvanceRetries(std::string_view service) { RetriesOf(service); }

  // Chooses a usable target of the service, or nothing if there is none.
  // Targets in `excluded_ids` are not chosen.
  std::optional<registered_target> ChooseTarget(
      std::string_view service,
      attempt_role role,
      std::span<const std::string> excluded_ids);

  // Records whether a request of the service was served.
  void RecordOutcome(std::string_view service,
                     bool is_repeatable,
                     bool is_served);

  // Records an observation of a target on this host. Unsuccessful ones are also
  // reported to the other hosts.
  void Observe(const target_entry& target, target_observation observation);

  // Records that a target closed the connection while it ran a request, and
  // reports this to the other hosts. Once too many targets have done so for a
  // fingerprint, the request is held back: hosts refuse it for some time
  // instead of sending it to more targets.
  void RecordLoss(std::uint64_t fingerprint,
                  std::string_view target_id,
                  loss_evidence evidence);

  // Stops using an incarnation of a target because it has announced that it is
  // leaving. Returns false if it was already out of use or is unknown.
  bool MarkLeaving(const suspicion_tracker::target_key& target);

  // Handles what a target stated about itself in a response: stops using a
  // target that is leaving, which is reported to the other hosts, and sends
  // nothing to a target while it rests.
  void HandleSignals(const target_entry& target, const target_signals& signals);

  // Returns the time at which the first target of the service ends its rest, or
  // nothing if some usable target does not rest or the service has none.
  std::optional<time_point> RestingUntil(std::string_view service) const;

  // Discards data about targets that has no effect any more.
  void Forget();

  // Stops using a target because another target has its address, and closes the
  // idle connections to it.
  void Disown(const target_entry& target);

 private:
  using retry_map = std::map<std::string, retry_window, std::less<>>;
  using floor_map = std::map<std::string, floor_keeper, std::less<>>;

  // This host's part of the fleet's retry allowance for one service.
  double HostRetryAllowance() const;
  bool MustUseFloor(std::string_view service, attempt_role role) const;

  boost::asio::io_context& loop_;
  const clock& time_;
  random_source& random_;
  gateway_telemetry& telemetry_;
  evidence_reporter& reporter_;
  gateway_options options_;
  fleet_state fleet_;
  std::shared_ptr<const rule_index> rules_;
  target_registry targets_;
  suspicion_tracker evidence_;
  rest_schedule rests_;
  target_chooser chooser_;
  crash_guard crashes_;
  work_classifier durations_;
  retry_map retries_;
  floor_map floors_;
  target_connection_pool connections_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_GATEWAY_STATE_H_

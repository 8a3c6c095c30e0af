#ifndef LIBRARIES_PLACEMENT_SUSPICION_TRACKER_H_
#define LIBRARIES_PLACEMENT_SUSPICION_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"

namespace bulrushshore {

// The outcome of one attempt at a request, as far as it concerns the target.
enum class target_observation {
  kSuccess,
  // The target responded with an error status of its own.
  kFailure,
  // The target sent bytes that are not a response to the request, or a
  // malformed response.
  kInvalidResponse,
  // The response took far longer than for other requests of the route, or never
  // came.
  kOverdue,
  // The target refused to start the request.
  kRefused,
  kConnectFailed,
  // The connection closed while the request was in flight.
  kConnectionLost,
  // As kConnectionLost, but on a reused idle connection, which the target may
  // have closed just before the request was sent.
  kReusedConnectionLost,
};

// Returns the stable lower-case name of `observation`. Thread safe.
std::string_view TargetObservationName(target_observation observation);

// Returns true if a healthy target under high load may cause `observation`.
// Thread safe.
bool MayBeCausedByLoad(target_observation observation);

struct suspicion_options {
  // Suspicion decays to 1/e of its value in this time after a first failure.
  duration time_constant = std::chrono::seconds(3);
  // A failure within this time of the previous one is a recurrence, unless this
  // host saw `clearing_successes` successes in between. It is longer than the
  // longest exclusion, so that a failure of the first request after an
  // exclusion counts as a recurrence.
  duration recurrence_window = std::chrono::seconds(15);
  // Failures within this time count as one, because requests that are in flight
  // at the same time fail together.
  duration simultaneous_failure_window = std::chrono::milliseconds(500);
  // Each recurrence multiplies the time constant by this factor, up to
  // `maximum_time_constant`, which is close to the time for which targets
  // typically fail.
  double recurrence_factor = 2.0;
  duration maximum_time_constant = std::chrono::seconds(8);
  // Number of consecutive successes after which a failure is not a recurrence:
  // healthy targets fail occasional requests as well.
  std::uint32_t clearing_successes = 2;
  // A target counts as healthy for this time after a success. It is about half
  // of the time for which targets typically fail.
  duration recent_success_window = std::chrono::seconds(4);
  // Limits how long a target stays suspected after it has recovered.
  double maximum_suspicion = 4.0;
  // A success multiplies the suspicion by this factor.
  double success_factor = 0.5;
  double failure_weight = 1.0;
  double overdue_weight = 0.35;
  double refusal_weight = 0.3;
  double reused_connection_weight = 0.3;
  double connect_failure_weight = 2.0;
  // Multiplies the weight of connection errors that other hosts report, because
  // the network path between that host and the target may be at fault.
  double remote_path_factor = 0.35;
};

// Tracks the suspicion of each target: a score of 0 or more that states how
// likely the target is to be failing now. Failures raise it, and it decays
// exponentially with time. It is computed from the outcomes that this host
// observed and those that other hosts report.
//
// The tracker is designed for fleets in which each host sends each target about
// one request a second, and targets fail part of their requests for seconds at
// a time. A single failure therefore takes effect at once, and suspicion decays
// without a health check, because health checks do not detect such faults. A
// target that fails again when it is tried is excluded for longer each time,
// since each trial may lose a request that must not be repeated.
//
// The class never reads a clock. Not thread safe.
class suspicion_tracker {
 public:
  explicit suspicion_tracker(const suspicion_options& options = {});

  // Identifies one incarnation of a target: a restart of the target begins a
  // new incarnation.
  struct target_key {
    std::string_view id;
    std::int64_t started_at_unix_ms = 0;
  };

  // Records an outcome that this host observed.
  void RecordLocalObservation(const target_key& target,
                              target_observation observation,
                              time_point now);

  // Records an outcome that another host reported.
  void RecordRemoteObservation(const target_key& target,
                               target_observation observation,
                               time_point now);

  // Raises the suspicion of a target to the value that another host reported;
  // keeps this host's value if it is higher. Used on hosts that do not
  // receive reports of individual observations.
  void MergeRemoteSuspicion(const target_key& target,
                            double suspicion,
                            time_point now);

  // The suspicion of one incarnation of a target.
  struct suspected_target {
    std::string id;
    std::int64_t started_at_unix_ms = 0;
    double suspicion = 0.0;
  };

  // Returns up to `count` targets with a suspicion of at least
  // `minimum_suspicion`, sorted by descending suspicion.
  std::vector<suspected_target> MostSuspected(std::size_t count,
                                              double minimum_suspicion,
                                              time_point now) const;

  // Returns the suspicion at `now`, which is 0 or more.
  double Suspicion(const target_key& target, time_point now) const;

  // What the choice of a target depends on.
  struct target_standing {
    // Decayed with the base time constant if the chooser is not cautious, which
    // ignores the slower decay after recurrences.
    double suspicion = 0.0;
    // This host saw the target succeed within `recent_success_window` and has
    // since neither observed a failure nor received a report of a failure or of
    // a suspicion. Connection errors that other hosts report do not count.
    bool has_recent_success = false;
    std::uint32_t requests_in_flight = 0;
  };

  // Returns the standing of a target with a single look-up, because it is
  // needed for each target of a service at each request.
  target_standing Standing(const target_key& target,
                           bool is_cautious,
                           time_point now) const;

  // BeginRequest() and EndRequest() count the requests of this host that are in
  // flight at the target; InFlightRequests() returns the count.
  void BeginRequest(std::string_view id);
  // Precondition: BeginRequest() was called more often than EndRequest() for
  // the id.
  void EndRequest(std::string_view id);
  std::uint32_t InFlightRequests(std::string_view id) const;

  // Removes the records of targets that have no suspicion, no recent success
  // and no requests in flight.
  void Forget(time_point now);

 private:
  struct target_record {
    std::int64_t started_at_unix_ms = 0;
    double suspicion = 0.0;
    time_point updated;
    duration time_constant{};
    // The time of the failure that last set `time_constant`.
    std::optional<time_point> failed;
    std::uint32_t successes_in_a_row = 0;
    // The time of the last success, unless the target has failed since.
    std::optional<time_point> succeeded;
    std::uint32_t requests_in_flight = 0;
  };

  using record_map = std::map<std::string, target_record, std::less<>>;

  double WeightOf(target_observation observation) const;
  target_record& FindOrCreateRecord(const target_key& target);
  const target_record* FindRecord(const target_key& target) const;
  target_record& AddSuspicion(const target_key& target,
                              double weight,
                              time_point now);
  bool HasRecentSuccess(const target_record& value, time_point now) const;
  void RecordFailure(target_record& value, time_point now) const;
  double DecayedSuspicion(const target_record& value, time_point now) const;
  static double DecayedSuspicion(const target_record& value,
                                 duration time_constant,
                                 time_point now);

  suspicion_options options_;
  record_map records_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PLACEMENT_SUSPICION_TRACKER_H_

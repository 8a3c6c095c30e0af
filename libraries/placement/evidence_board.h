#ifndef LIBRARIES_PLACEMENT_EVIDENCE_BOARD_H_
#define LIBRARIES_PLACEMENT_EVIDENCE_BOARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"

namespace bulrushshore {

// What one attempt says about its target.
enum class target_observation {
  kSuccess,
  // An error status of the target's own.
  kFailure,
  // Bytes that are no answer to the request, or a broken answer.
  kBadAnswer,
  // Far slower than other requests of the route, or not answered at all.
  kOverdue,
  // The target refused to start the request.
  kRefused,
  kConnectFailed,
  // The connection ended while the target held the request.
  kConnectionLost,
  // The same on a connection that had been idle, which the target may have
  // closed just before.
  kReusedConnectionLost,
};

// Returns the stable lower-case name of `observation`. Thread safe.
std::string_view TargetObservationName(target_observation observation);

// Returns true if a target may be sound and only busy. Thread safe.
bool MayComeFromLoad(target_observation observation);

struct evidence_options {
  // Suspicion falls to 1/e of its value in this time after a first failure.
  duration time_constant = std::chrono::seconds(3);
  // A failure within this time of the one before is a relapse, unless this
  // host saw the target succeed in between. Longer than the longest exclusion,
  // so that a failure of the first request after it counts.
  duration relapse_window = std::chrono::seconds(15);
  // Requests that were in progress together fail together; they are one
  // failure.
  duration relapse_gap = std::chrono::milliseconds(500);
  // Each relapse multiplies the time constant by this factor, up to a bound
  // near the time for which targets are seen to fail.
  double relapse_factor = 2.0;
  duration maximum_time_constant = std::chrono::seconds(8);
  // Successes in a row after which a failure is no relapse: any target fails
  // a request now and then.
  std::uint32_t clearing_successes = 2;
  // A success says for this time that the target is sound, about half of the
  // time for which targets are seen to fail.
  duration proof_time = std::chrono::seconds(4);
  // Bounds how long a repaired target stays under suspicion.
  double maximum_suspicion = 4.0;
  // A success leaves this share of the suspicion.
  double success_factor = 0.5;
  double failure_weight = 1.0;
  double overdue_weight = 0.35;
  double refusal_weight = 0.3;
  double reused_connection_weight = 0.3;
  double connect_failure_weight = 2.0;
  // Another host's lost connection may be a fault of its path to the target.
  double remote_path_factor = 0.35;
};

// How far each target is suspected of failing now, from the outcomes that this
// host saw and those that other hosts report. Made for fleets in which each
// host sees about one request a second for each target and targets fail a part
// of their requests for seconds at a time: one failure counts at once, and
// suspicion ends by itself, because health checks say nothing about such
// faults. A target that fails again when it is tried is left out for longer
// each time, since each trial may cost a request that must not be repeated. It
// never reads a clock. Not thread safe.
class evidence_board {
 public:
  explicit evidence_board(const evidence_options& options = {});

  // Names one incarnation of a target.
  struct target_key {
    std::string_view id;
    std::int64_t started_at_unix_ms = 0;
  };

  // Enters an outcome that this host saw.
  void ObserveHere(const target_key& target,
                   target_observation observation,
                   time_point now);

  // Enters an outcome that another host reported.
  void ObserveElsewhere(const target_key& target,
                        target_observation observation,
                        time_point now);

  // Enters how far another host suspects a target; a stronger suspicion of this
  // host's own stays. For hosts that hear no single reports.
  void LearnSuspicion(const target_key& target,
                      double suspicion,
                      time_point now);

  // A target that is suspected.
  struct suspected_target {
    std::string id;
    std::int64_t started_at_unix_ms = 0;
    double suspicion = 0.0;
  };

  // Returns the `count` most suspected targets of at least `least`, the most
  // suspected first.
  std::vector<suspected_target> MostSuspected(std::size_t count,
                                              double least,
                                              time_point now) const;

  // Returns the present suspicion, 0 or more.
  double Suspicion(const target_key& target, time_point now) const;

  // Returns it as if the target had never failed again.
  double SuspicionWithoutRelapses(const target_key& target,
                                  time_point now) const;

  // Returns true if this host saw the target succeed within the proof time and
  // heard of no failure since.
  bool IsProven(const target_key& target, time_point now) const;

  // Count the requests of this host that the target holds.
  void BeginRequest(std::string_view id);
  // Precondition: as many calls of BeginRequest() for the id.
  void EndRequest(std::string_view id);
  std::uint32_t RequestsHeld(std::string_view id) const;

  // Drops what is known of targets without suspicion, proof and requests.
  void Forget(time_point now);

 private:
  struct record {
    std::int64_t started_at_unix_ms = 0;
    double suspicion = 0.0;
    time_point updated;
    duration time_constant{};
    // The last failure that made the time constant what it is.
    std::optional<time_point> failed;
    std::uint32_t successes_in_a_row = 0;
    // The last success, unless the target has failed since.
    std::optional<time_point> succeeded;
    std::uint32_t requests_held = 0;
  };

  using record_map = std::map<std::string, record, std::less<>>;

  double WeightOf(target_observation observation) const;
  record& RecordOf(const target_key& target);
  const record* Find(const target_key& target) const;
  record& Add(const target_key& target, double weight, time_point now);
  bool IsProven(const record& value, time_point now) const;
  void NoteFailure(record& value, time_point now) const;
  double Decayed(const record& value, time_point now) const;
  static double Decayed(const record& value,
                        duration time_constant,
                        time_point now);

  evidence_options options_;
  record_map records_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PLACEMENT_EVIDENCE_BOARD_H_

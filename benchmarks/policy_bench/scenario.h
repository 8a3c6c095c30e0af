#ifndef BENCHMARKS_POLICY_BENCH_SCENARIO_H_
#define BENCHMARKS_POLICY_BENCH_SCENARIO_H_

#include <optional>
#include <string>
#include <vector>

#include "libraries/base/clock.h"

namespace bulrushshore {

enum class fault_type {
  kNone,
  // Answers probes and fails half of the requests.
  kGray,
  // Takes five times as long.
  kSlowGray,
  // Fails all requests for 5 s, then none for 5 s.
  kFlapping,
  // Cannot be reached.
  kUnreachable,
  // Is down for 2 s and then slow until it is warm.
  kColdRestart,
  // Reports load figures that have nothing to do with its load.
  kMisleadingLoad,
};

enum class fault_scope { kNoTarget, kOneTarget, kOneZone, kHalfOfTargets };

// One script of demand and faults.
struct scenario {
  std::string name;
  fault_type fault = fault_type::kNone;
  fault_scope scope = fault_scope::kNoTarget;
  duration fault_start = std::chrono::seconds(20);
  duration fault_end = std::chrono::seconds(50);
  // The first host gets no answers during the fault.
  bool has_host_partition = false;
  // Demand relative to the capacity.
  double demand = 0.5;
  // Demand from peak_start for peak_length; 0 without a peak.
  double peak_demand = 0.0;
  duration peak_start = std::chrono::seconds(25);
  duration peak_length = std::chrono::seconds(10);
  // Share of long work during the peak.
  std::optional<double> peak_long_share;
  duration length = std::chrono::seconds(90);

  bool IsFaultActive(duration elapsed) const {
    return elapsed >= fault_start && elapsed < fault_end;
  }
  bool IsPeak(duration elapsed) const {
    return peak_demand > 0.0 && elapsed >= peak_start &&
           elapsed < peak_start + peak_length;
  }
  double DemandAt(duration elapsed) const {
    return IsPeak(elapsed) ? peak_demand : demand;
  }
};

// Returns all scripts.
std::vector<scenario> AllScenarios();

}  // namespace bulrushshore

#endif  // BENCHMARKS_POLICY_BENCH_SCENARIO_H_

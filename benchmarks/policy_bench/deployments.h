#ifndef BENCHMARKS_POLICY_BENCH_DEPLOYMENTS_H_
#define BENCHMARKS_POLICY_BENCH_DEPLOYMENTS_H_

#include <string>
#include <vector>

#include "libraries/base/clock.h"

namespace bulrushshore {

// A service as the benchmark runs it.
struct bench_service {
  std::string name;
  std::size_t target_count = 6;
  // Work that may not be repeated is only retried if it did not start.
  bool is_idempotent = true;
  // Median of the short work.
  duration short_work = std::chrono::milliseconds(40);
  // Share of long work, and how many times longer its median is.
  double long_share = 0.03;
  double long_factor = 15.0;
};

struct deployment {
  std::string name;
  // One-way latency between two availability zones and within one.
  duration zone_latency;
  duration local_latency = std::chrono::microseconds(100);
  std::size_t zone_count = 3;
  std::uint32_t slots = 6;
  // Hosts that serve one service.
  std::size_t host_count = 6;
  std::vector<bench_service> services;
};

// Returns the two deployments of design section 1.1 and a service at the
// design scale.
std::vector<deployment> AllDeployments();

}  // namespace bulrushshore

#endif  // BENCHMARKS_POLICY_BENCH_DEPLOYMENTS_H_

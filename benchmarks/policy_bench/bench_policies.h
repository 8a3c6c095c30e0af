#ifndef BENCHMARKS_POLICY_BENCH_BENCH_POLICIES_H_
#define BENCHMARKS_POLICY_BENCH_BENCH_POLICIES_H_

#include <string>
#include <vector>

#include "libraries/dispatch/service_policy.h"

namespace bulrushshore {

struct named_policy {
  std::string name;
  service_policy policy;
  // The scripts that the policy is compared in; all if empty.
  std::vector<std::string> scenarios;
};

// Returns the product's defaults, the baselines and the defaults with one
// mechanism switched off each.
std::vector<named_policy> AllPolicies();

}  // namespace bulrushshore

#endif  // BENCHMARKS_POLICY_BENCH_BENCH_POLICIES_H_

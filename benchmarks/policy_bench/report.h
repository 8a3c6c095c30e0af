#ifndef BENCHMARKS_POLICY_BENCH_REPORT_H_
#define BENCHMARKS_POLICY_BENCH_REPORT_H_

#include <string>
#include <string_view>
#include <vector>

#include "benchmarks/policy_bench/simulation.h"

namespace bulrushshore {

// The runs of one policy in one case: all services and seeds of a deployment.
struct policy_runs {
  std::string policy;
  std::vector<run_result> runs;
};

// Returns a Markdown table with a line per policy; each cell holds the mean
// and, in brackets, the lowest and highest run.
std::string FormatTable(std::string_view title,
                        const std::vector<policy_runs>& policies);

}  // namespace bulrushshore

#endif  // BENCHMARKS_POLICY_BENCH_REPORT_H_

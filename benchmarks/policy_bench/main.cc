// Plays scripts of demand and faults against the decision code in virtual time
// and prints a Markdown table per deployment and script.

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <gflags/gflags.h>

#include "benchmarks/policy_bench/bench_policies.h"
#include "benchmarks/policy_bench/report.h"
#include "benchmarks/policy_bench/simulation.h"

DEFINE_uint32(seeds, 3, "number of seeds, from 1 upwards");
DEFINE_uint32(threads, 3, "number of threads; they do not change the results");
DEFINE_string(deployment, "", "run only this deployment");
DEFINE_string(scenario, "", "run only this script");
DEFINE_string(policy, "", "run only this policy");

namespace bulrushshore {
namespace {

struct bench_job {
  const deployment* fleet = nullptr;
  const bench_service* service = nullptr;
  const scenario* script = nullptr;
  const named_policy* policy = nullptr;
  std::uint64_t seed = 1;
  run_result* result = nullptr;
};

bool IsWanted(const std::string& flag, const std::string& name) {
  return flag.empty() || flag == name;
}

void RunJobs(const std::vector<bench_job>& jobs) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(FLAGS_threads);
  for (std::uint32_t index = 0; index < FLAGS_threads; ++index) {
    threads.emplace_back([&jobs, &next] {
      for (std::size_t job = next++; job < jobs.size(); job = next++) {
        const bench_job& current = jobs[job];
        *current.result =
            simulation(*current.fleet, *current.service, *current.script,
                       current.policy->policy, current.seed)
                .Run();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void RunCase(const deployment& fleet,
             const scenario& script,
             const std::vector<named_policy>& policies) {
  std::vector<policy_runs> table;
  table.reserve(policies.size());
  for (const named_policy& policy : policies) {
    const bool is_compared =
        policy.scenarios.empty() ||
        std::find(policy.scenarios.begin(), policy.scenarios.end(),
                  script.name) != policy.scenarios.end();
    if (is_compared && IsWanted(FLAGS_policy, policy.name)) {
      table.push_back({policy.name, {}});
      table.back().runs.resize(fleet.services.size() * FLAGS_seeds);
    }
  }
  std::vector<bench_job> jobs;
  for (policy_runs& line : table) {
    const auto policy = std::find_if(policies.begin(), policies.end(),
                                     [&line](const named_policy& named) {
                                       return named.name == line.policy;
                                     });
    for (std::size_t run = 0; run < line.runs.size(); ++run) {
      jobs.push_back({&fleet, &fleet.services[run % fleet.services.size()],
                      &script, &*policy, 1 + run / fleet.services.size(),
                      &line.runs[run]});
    }
  }
  RunJobs(jobs);
  std::cout << FormatTable(fleet.name + ": " + script.name, table)
            << std::flush;
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetUsageMessage("compares policies for targets in virtual time");
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<bulrushshore::named_policy> policies =
      bulrushshore::AllPolicies();
  for (const bulrushshore::deployment& fleet : bulrushshore::AllDeployments()) {
    if (!bulrushshore::IsWanted(FLAGS_deployment, fleet.name)) {
      continue;
    }
    for (const bulrushshore::scenario& script : bulrushshore::AllScenarios()) {
      if (bulrushshore::IsWanted(FLAGS_scenario, script.name)) {
        bulrushshore::RunCase(fleet, script, policies);
      }
    }
  }
  return 0;
}

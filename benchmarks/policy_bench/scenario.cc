#include "benchmarks/policy_bench/scenario.h"

#include <utility>

namespace bulrushshore {
namespace {

constexpr double kPeakDemand = 3.0;
constexpr duration kHealthyLength = std::chrono::minutes(4);

scenario Faulty(std::string name, fault_type fault, fault_scope scope) {
  scenario made;
  made.name = std::move(name);
  made.fault = fault;
  made.scope = scope;
  return made;
}

}  // namespace

std::vector<scenario> AllScenarios() {
  std::vector<scenario> all;
  scenario healthy;
  healthy.name = "healthy";
  healthy.length = kHealthyLength;
  all.push_back(healthy);

  scenario peak;
  peak.name = "peak";
  peak.peak_demand = kPeakDemand;
  all.push_back(peak);

  scenario long_burst;
  long_burst.name = "long-burst";
  long_burst.peak_demand = 1.0;
  long_burst.peak_long_share = 0.3;
  all.push_back(long_burst);

  all.push_back(Faulty("gray", fault_type::kGray, fault_scope::kOneTarget));
  all.push_back(
      Faulty("slow-gray", fault_type::kSlowGray, fault_scope::kOneTarget));
  all.push_back(
      Faulty("flapping", fault_type::kFlapping, fault_scope::kOneTarget));
  all.push_back(
      Faulty("zone", fault_type::kUnreachable, fault_scope::kOneZone));

  scenario partition;
  partition.name = "host-partition";
  partition.has_host_partition = true;
  all.push_back(partition);

  scenario peak_in_fault =
      Faulty("peak-in-fault", fault_type::kGray, fault_scope::kOneTarget);
  peak_in_fault.peak_demand = kPeakDemand;
  all.push_back(peak_in_fault);

  all.push_back(Faulty("cold-restart", fault_type::kColdRestart,
                       fault_scope::kHalfOfTargets));
  all.push_back(Faulty("misleading-load", fault_type::kMisleadingLoad,
                       fault_scope::kHalfOfTargets));
  return all;
}

}  // namespace bulrushshore

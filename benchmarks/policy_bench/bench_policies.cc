#include "benchmarks/policy_bench/bench_policies.h"

#include <utility>

namespace bulrushshore {
namespace {

// Only the choice of a target and a bounded queue.
named_policy SelectionOnly(std::string selector) {
  named_policy made;
  made.name = selector + " only";
  made.policy.selector = std::move(selector);
  made.policy.health.is_ejection_enabled = false;
  made.policy.is_long_work_limited = false;
  made.policy.is_wait_predicted = false;
  made.policy.is_queue_fair = false;
  made.policy.concurrency.is_enabled = false;
  return made;
}

void AddScoreVariants(std::vector<named_policy>& all) {
  const std::vector<std::string> scenarios = {"healthy", "gray", "slow-gray",
                                              "zone", "cold-restart"};
  named_policy eager{"ejection score 7", {}, scenarios};
  eager.policy.health.ejection_score = 7.0;
  all.push_back(eager);
  named_policy cautious{"ejection score 21", {}, scenarios};
  cautious.policy.health.ejection_score = 21.0;
  all.push_back(cautious);
}

// Adds the defaults with one mechanism switched off each.
void AddAblations(std::vector<named_policy>& all) {
  const std::vector<std::string> peaks = {"peak", "peak-in-fault",
                                          "long-burst"};
  named_policy no_suspicion{
      "no self-suspicion", {}, {"host-partition", "zone"}};
  no_suspicion.policy.health.is_self_suspicion_enabled = false;
  all.push_back(no_suspicion);
  named_policy no_long_limit{"no limit for long work", {}, {"long-burst"}};
  no_long_limit.policy.is_long_work_limited = false;
  all.push_back(no_long_limit);
  named_policy no_memory{
      "long limit only while short work waits", {}, {"long-burst"}};
  no_memory.policy.short_demand_memory = duration::zero();
  all.push_back(no_memory);
  named_policy no_prediction{"no wait prediction", {}, peaks};
  no_prediction.policy.is_wait_predicted = false;
  all.push_back(no_prediction);
  named_policy no_concurrency{"no adaptive concurrency",
                              {},
                              {"healthy", "peak", "peak-in-fault", "zone"}};
  no_concurrency.policy.concurrency.is_enabled = false;
  all.push_back(no_concurrency);
  named_policy no_fairness{"no fair queueing", {}, peaks};
  no_fairness.policy.is_queue_fair = false;
  all.push_back(no_fairness);
}

}  // namespace

std::vector<named_policy> AllPolicies() {
  std::vector<named_policy> all;
  for (const char* selector :
       {"random", "round_robin", "least_outstanding", "two_choices"}) {
    all.push_back(SelectionOnly(selector));
  }
  all.push_back({"default", {}, {}});
  named_policy least{"default with least_outstanding", {}, {}};
  least.policy.selector = "least_outstanding";
  all.push_back(least);
  named_policy no_ejection{"no ejection", {}, {}};
  no_ejection.policy.health.is_ejection_enabled = false;
  all.push_back(no_ejection);
  AddScoreVariants(all);
  AddAblations(all);
  return all;
}

}  // namespace bulrushshore

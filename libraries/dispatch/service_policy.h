#ifndef LIBRARIES_DISPATCH_SERVICE_POLICY_H_
#define LIBRARIES_DISPATCH_SERVICE_POLICY_H_

#include <string>

#include "libraries/admission/concurrency_limit.h"
#include "libraries/admission/crash_guard.h"
#include "libraries/admission/retry_budget.h"
#include "libraries/admission/work_classifier.h"
#include "libraries/health/health_types.h"

namespace bulrushshore {

// The decision rules of a service. The defaults are those of the product; the
// switches serve tests and the comparison of policies.
struct service_policy {
  // See MakeTargetSelector().
  std::string selector = "two_choices";
  health_options health;
  retry_budget_options retry_budget;
  work_classifier_options classifier;
  concurrency_limit_options concurrency;
  crash_guard_options crash;
  // Keeps long work to less than half of a target's slots.
  bool is_long_work_limited = true;
  // Short work counts as waiting for this long after it last had to wait, so
  // that a short lull does not fill all slots with long work.
  duration short_demand_memory = std::chrono::seconds(1);
  // Refuses work at once whose deadline or patience cannot be met.
  bool is_wait_predicted = true;
  // Shares the queue between organisations.
  bool is_queue_fair = true;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_DISPATCH_SERVICE_POLICY_H_

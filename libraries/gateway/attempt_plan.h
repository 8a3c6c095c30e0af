#ifndef LIBRARIES_GATEWAY_ATTEMPT_PLAN_H_
#define LIBRARIES_GATEWAY_ATTEMPT_PLAN_H_

#include <cstdint>

#include "libraries/admission/retry_budget.h"
#include "libraries/base/clock.h"

namespace bulrushshore {

// How one attempt at a target ended.
enum class attempt_end {
  kAnswered,
  // The target answered with an error of its own, so the request has run.
  kErrorAnswer,
  // The target said that it did not run the request.
  kNotExecuted,
  // No connection was made.
  kNotSent,
  // The request was sent, and it is not known whether it ran.
  kUnknown,
};

// What happens to the request after an attempt has ended.
enum class next_step {
  // The answer of this attempt goes to the caller.
  kDeliver,
  kTryAnotherTarget,
  // A second attempt is still in progress.
  kWait,
  // The error answer of an earlier attempt goes to the caller.
  kDeliverErrorAnswer,
  // The caller is told that the request has not run.
  kRefuse,
  // The caller is told nothing about whether the request has run.
  kFail,
};

struct attempt_rules {
  bool is_idempotent = false;
  // Targets to which the request may be sent.
  std::uint32_t max_attempts = 1;
};

// Decides whether a request is sent again. A request that is not idempotent is
// sent again only if its target did not run it. Sending to a further target
// draws on the retry budget of the service; a connection that was never made
// does not, because it puts no load on a target. Not thread safe.
class attempt_plan {
 public:
  // Precondition: `budget` outlives this object.
  attempt_plan(const attempt_rules& rules, retry_budget& budget);

  // An attempt starts. Precondition: it is the first one or was allowed.
  void OnStart();

  // An attempt has ended.
  next_step OnEnd(attempt_end end);

  // Takes a token for a second attempt beside one in progress; returns false if
  // it is not allowed.
  bool TryStartSecondAttempt();

  // No target is left for an attempt that OnEnd() or TryStartSecondAttempt()
  // allowed.
  next_step OnNoTarget();

  // Returns true if the next attempt must not meet a failing target: the
  // request cannot be sent again, or it is a repeat, which draws on the budget
  // and may be the last one. First attempts of idempotent work find out which
  // targets work again.
  bool MustAvoidFailingTargets() const {
    return !rules_.is_idempotent || sent_ > 0;
  }

  // Returns true if some target may have run the request.
  bool MayHaveRun() const { return may_have_run_ || in_progress_ > 0; }

  std::uint32_t sent() const { return sent_; }
  std::uint32_t in_progress() const { return in_progress_; }

 private:
  bool MaySendAgain() const;
  next_step GiveUp() const;

  attempt_rules rules_;
  retry_budget& budget_;
  std::uint32_t sent_ = 0;
  std::uint32_t in_progress_ = 0;
  std::uint32_t failed_connections_ = 0;
  bool may_have_run_ = false;
  bool has_error_answer_ = false;
};

// Returns how long the first attempt may take before the request counts as
// overdue and a second target is asked. `expected` is the usual duration; the
// second attempt should end within `target_latency` if that leaves the first
// one clearly more than its usual time. Thread safe.
duration OverdueAfter(duration expected, duration target_latency);

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_ATTEMPT_PLAN_H_

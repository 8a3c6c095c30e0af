#ifndef LIBRARIES_GATEWAY_ATTEMPT_PLAN_H_
#define LIBRARIES_GATEWAY_ATTEMPT_PLAN_H_

#include <cstdint>

#include "libraries/admission/retry_permits.h"
#include "libraries/base/clock.h"
#include "libraries/placement/floor_keeper.h"

namespace bulrushshore {

// How one attempt at a target ended.
enum class attempt_end {
  kAnswered,
  // The target responded with an error of its own, so the request has run.
  kErrorResponse,
  // The target stated that it did not run the request.
  kNotExecuted,
  // The request reached a target of another service or id, which now has the
  // address and did not run it.
  kWrongTarget,
  // No connection to the target could be established.
  kNotSent,
  // The request was sent, and it is unknown whether it ran.
  kUnknown,
};

// What the gateway does with the request after an attempt has ended.
enum class next_step {
  // The caller receives the response of this attempt.
  kDeliverResponse,
  kTryAnotherTarget,
  // Another attempt is still in progress.
  kWait,
  // The caller receives the target's error response, which this or an earlier
  // attempt received.
  kDeliverErrorResponse,
  // The caller is told that the request has not run.
  kRefuse,
  // The caller receives an error that leaves open whether the request has run.
  kFail,
};

struct attempt_limits {
  bool is_idempotent = false;
  // Maximum number of targets to which the request is sent.
  std::uint32_t max_attempts = 1;
};

// Decides whether a request is retried. A request that is not idempotent is
// retried only if it is known that no target ran it. Each retry takes a token
// from the retry budget of the service. An attempt that replaces one which
// could not connect takes no token, because a failed connection puts no load on
// a target. Not thread safe.
class attempt_plan {
 public:
  // Precondition: `permits` outlives this object.
  attempt_plan(const attempt_limits& rules, retry_permits& permits);

  // Records the start of an attempt. Precondition: it is the first attempt, or
  // OnEnd() or TryStartSecondAttempt() allowed it.
  void OnStart();

  // Records the end of an attempt and returns what to do next.
  // Precondition: an attempt is in progress.
  next_step OnEnd(attempt_end end);

  // Takes a retry token for a second attempt that runs in parallel with the one
  // in progress. Returns false if a second attempt is not allowed.
  bool TryStartSecondAttempt();

  // Records that an attempt does not start, for example because no target is
  // left. Puts its retry token back into the budget if it took one, and returns
  // what to do next. Precondition: it is the first attempt, or OnEnd() or
  // TryStartSecondAttempt() allowed it.
  next_step OnNoTarget();

  // Returns the role of the next attempt. First attempts of idempotent requests
  // may probe whether a failing target has recovered; the others must avoid
  // failing targets.
  attempt_role NextAttemptRole() const;

  // Returns true if some target may have run the request.
  bool MayHaveRun() const { return may_have_run_ || in_progress_ > 0; }

  std::uint32_t sent() const { return sent_; }
  std::uint32_t in_progress() const { return in_progress_; }

 private:
  bool MayRetry() const;
  next_step NextStepWithoutRetry() const;

  attempt_limits rules_;
  retry_permits& permits_;
  std::uint32_t sent_ = 0;
  std::uint32_t in_progress_ = 0;
  std::uint32_t failed_connections_ = 0;
  std::uint32_t wrong_targets_ = 0;
  // The next attempt has taken a token.
  bool takes_token_ = false;
  bool may_have_run_ = false;
  bool has_error_response_ = false;
};

// Returns the time after which the first attempt counts as overdue and a second
// attempt may start at another target. `expected` is the usual duration. The
// result leaves a second attempt enough time to end within `target_latency`,
// provided that the first one still gets clearly more than its usual duration.
// Thread safe.
duration OverdueAfter(duration expected, duration target_latency);

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_ATTEMPT_PLAN_H_

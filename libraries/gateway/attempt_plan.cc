#include "libraries/gateway/attempt_plan.h"

#include <algorithm>
#include <cassert>

namespace bulrushshore {
namespace {

// Number of failed connections after which the request is not retried. Each one
// takes up to one connect timeout.
constexpr std::uint32_t kMaxFailedConnections = 4;

// Number of wrong targets that do not count as attempts of a request.
constexpr std::uint32_t kMaxWrongTargets = 4;

// Shorter durations depend mostly on the network and on CPU scheduling.
constexpr duration kMinOverdueTime = std::chrono::milliseconds(100);

}  // namespace

attempt_plan::attempt_plan(const attempt_limits& rules, retry_permits& permits)
    : rules_(rules), permits_(permits) {}

void attempt_plan::OnStart() {
  ++sent_;
  ++in_progress_;
  takes_token_ = false;
}

next_step attempt_plan::OnEnd(attempt_end end) {
  assert(in_progress_ > 0);
  --in_progress_;
  switch (end) {
    case attempt_end::kAnswered:
      return next_step::kDeliverResponse;
    case attempt_end::kNotSent:
      --sent_;
      ++failed_connections_;
      return failed_connections_ < kMaxFailedConnections
                 ? next_step::kTryAnotherTarget
                 : NextStepWithoutRetry();
    case attempt_end::kWrongTarget:
      // No target of the service has seen the request, so it does not count as
      // one of the attempts. The other target had to refuse it, so a retry
      // takes a token like any other.
      if (wrong_targets_ < kMaxWrongTargets) {
        ++wrong_targets_;
        --sent_;
      }
      break;
    case attempt_end::kNotExecuted:
      break;
    case attempt_end::kErrorResponse:
      may_have_run_ = true;
      has_error_response_ = true;
      break;
    case attempt_end::kUnknown:
      may_have_run_ = true;
      break;
  }
  if (MayRetry() && permits_.TryTakeRetry(retry_cause::kFailedAttempt)) {
    takes_token_ = true;
    return next_step::kTryAnotherTarget;
  }
  return NextStepWithoutRetry();
}

bool attempt_plan::TryStartSecondAttempt() {
  const bool is_allowed = rules_.is_idempotent && in_progress_ == 1 &&
                          MayRetry() &&
                          permits_.TryTakeRetry(retry_cause::kSlowAttempt);
  takes_token_ = takes_token_ || is_allowed;
  return is_allowed;
}

next_step attempt_plan::OnNoTarget() {
  if (takes_token_) {
    permits_.ReturnToken();
    takes_token_ = false;
  }
  return NextStepWithoutRetry();
}

attempt_role attempt_plan::NextAttemptRole() const {
  if (sent_ > 0) {
    return attempt_role::kRetry;
  }
  return rules_.is_idempotent ? attempt_role::kRepeatableFirst
                              : attempt_role::kOnceOnlyFirst;
}

bool attempt_plan::MayRetry() const {
  return sent_ < rules_.max_attempts && (rules_.is_idempotent || !MayHaveRun());
}

next_step attempt_plan::NextStepWithoutRetry() const {
  if (in_progress_ > 0) {
    return next_step::kWait;
  }
  if (has_error_response_) {
    return next_step::kDeliverErrorResponse;
  }
  return may_have_run_ ? next_step::kFail : next_step::kRefuse;
}

duration OverdueAfter(duration expected, duration target_latency) {
  const duration preferred = expected * 5 / 2;
  const duration minimum = expected * 3 / 2;
  const duration latest = target_latency - expected * 13 / 10;
  return std::max({kMinOverdueTime, minimum, std::min(preferred, latest)});
}

}  // namespace bulrushshore

#include "libraries/gateway/attempt_plan.h"

#include <algorithm>
#include <cassert>

namespace bulrushshore {
namespace {

// Targets that may be found unreachable before the request is refused. Each
// costs up to one connect timeout.
constexpr std::uint32_t kMaxFailedConnections = 4;

// Below this the network and the processor's scheduling decide the duration.
constexpr duration kMinOverdueTime = std::chrono::milliseconds(100);

}  // namespace

attempt_plan::attempt_plan(const attempt_rules& rules, retry_budget& budget)
    : rules_(rules), budget_(budget) {}

void attempt_plan::OnStart() {
  ++sent_;
  ++in_progress_;
}

next_step attempt_plan::OnEnd(attempt_end end) {
  assert(in_progress_ > 0);
  --in_progress_;
  switch (end) {
    case attempt_end::kAnswered:
      return next_step::kDeliver;
    case attempt_end::kNotSent:
      --sent_;
      ++failed_connections_;
      return failed_connections_ < kMaxFailedConnections
                 ? next_step::kTryAnotherTarget
                 : GiveUp();
    case attempt_end::kNotExecuted:
      break;
    case attempt_end::kErrorAnswer:
      may_have_run_ = true;
      has_error_answer_ = true;
      break;
    case attempt_end::kUnknown:
      may_have_run_ = true;
      break;
  }
  if (MaySendAgain() && budget_.TryTakeRetry()) {
    return next_step::kTryAnotherTarget;
  }
  return GiveUp();
}

bool attempt_plan::TryStartSecondAttempt() {
  return rules_.is_idempotent && in_progress_ == 1 && MaySendAgain() &&
         budget_.TryTakeRetry();
}

next_step attempt_plan::OnNoTarget() {
  if (sent_ > 0) {
    budget_.ReturnRetry();
  }
  return GiveUp();
}

bool attempt_plan::MaySendAgain() const {
  return sent_ < rules_.max_attempts && (rules_.is_idempotent || !MayHaveRun());
}

next_step attempt_plan::GiveUp() const {
  if (in_progress_ > 0) {
    return next_step::kWait;
  }
  if (has_error_answer_) {
    return next_step::kDeliverErrorAnswer;
  }
  return may_have_run_ ? next_step::kFail : next_step::kRefuse;
}

duration OverdueAfter(duration expected, duration target_latency) {
  const duration usual = expected * 5 / 2;
  const duration earliest = expected * 3 / 2;
  const duration in_time = target_latency - expected * 13 / 10;
  return std::max({kMinOverdueTime, earliest, std::min(usual, in_time)});
}

}  // namespace bulrushshore

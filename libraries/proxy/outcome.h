#ifndef LIBRARIES_PROXY_OUTCOME_H_
#define LIBRARIES_PROXY_OUTCOME_H_

#include <chrono>
#include <span>
#include <string_view>

#include "libraries/dispatch/dispatcher.h"
#include "libraries/http/http_message.h"

namespace bulrushshore {

// What a caller is told about its request.
enum class outcome_kind {
  // The response of the target.
  kAnswered,
  // The work provably did not start.
  kNotRun,
  // The work may have run.
  kUnknown,
  // The request is at fault.
  kRefused,
};

// Returns the value of X-Outcome for `kind`. Thread safe.
std::string_view OutcomeKindName(outcome_kind kind);

// Every point at which the way of a request through a host can end without the
// response of a target. docs/outcomes.md explains each of them.
enum class failure_point {
  // The request is at fault.
  kMalformedRequest,
  kMalformedTarget,
  kMalformedHeaderValue,
  kMethodNotSupported,
  kHeadTooLarge,
  kBodyTooLarge,
  kSenderTooSlow,
  kNoRoute,
  kKeyMissing,
  kKeyMalformed,
  kKeyNotIssued,
  kKeyReused,
  // No target has been chosen.
  kThreadsExhausted,
  kNoConfiguration,
  kNoConfigurationForKey,
  kUnknownService,
  kNoTarget,
  kQueueFull,
  kQueueTimeout,
  kDeadlineTooShort,
  kRetryBudgetExhausted,
  kHeldBack,
  kShuttingDown,
  kCallerGone,
  kKeyTableFull,
  kKeyClaimUnavailable,
  kKeyClaimBudget,
  kFirstAttemptNotStarted,
  // A target was chosen and the request did not start there.
  kConnectionLimit,
  kConnectFailed,
  kNothingSent,
  kTargetRefused,
  // The request was sent, at least in part.
  kSendInterrupted,
  kClosedBeforeResponse,
  kClosedDuringResponse,
  kResponseTooLarge,
  kResponseUnframed,
  kResponseMalformed,
  kResponseTimeout,
  kCancelled,
  // The owner of the key cannot tell, or cannot be asked.
  kKeyExpired,
  kKeySealed,
  kKeyOutcomeUnknown,
  kKeyResponseNotKept,
  kKeyWaitTimeout,
  kKeyOwnerGone,
  kKeyOwnerUnreachable,
  kKeyForwardedTwice,
};

// Returns all failure points in the order of their declaration. Thread safe.
std::span<const failure_point> AllFailurePoints();

struct outcome {
  outcome_kind kind = outcome_kind::kUnknown;
  int status = 0;
  // Value of X-Outcome-Reason and of the metric label `reason`.
  std::string_view reason;
};

// Returns the one outcome of `point`. Thread safe.
outcome OutcomeOf(failure_point point);

// Returns the point that stands for a refusal by the dispatcher. Thread safe.
failure_point FailurePointOf(refusal_reason reason);

// Returns true if the work may have started when its attempt ended at `point`.
// Thread safe.
bool MayHaveStarted(failure_point point);

// Returns the HTTP form of `point`: status, X-Outcome, X-Outcome-Reason, for
// kNotRun also Retry-After in whole seconds, and a JSON body. Thread safe.
proxy_response MakeFailureResponse(failure_point point,
                                   std::chrono::milliseconds retry_after);

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_OUTCOME_H_

#include "libraries/proxy/outcome.h"

#include <algorithm>
#include <array>
#include <string>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kUnprocessableContent = 422;
constexpr int kPreconditionRequired = 428;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

struct failure_row {
  failure_point point;
  outcome result;
};

constexpr failure_row Refused(failure_point point,
                              int status,
                              std::string_view reason) {
  return {point, {outcome_kind::kRefused, status, reason}};
}

constexpr failure_row NotRun(failure_point point, std::string_view reason) {
  return {point, {outcome_kind::kNotRun, kServiceUnavailable, reason}};
}

constexpr failure_row Unknown(failure_point point,
                              int status,
                              std::string_view reason) {
  return {point, {outcome_kind::kUnknown, status, reason}};
}

using enum failure_point;

// In the order of the declaration of failure_point. A failure before the key's
// owner was asked is never not_run: an earlier attempt with the same key may
// have run the work.
constexpr std::array kFailureTable = {
    Refused(kMalformedRequest, kBadRequest, "malformed-request"),
    Refused(kMalformedTarget, kBadRequest, "malformed-target"),
    Refused(kMalformedHeaderValue, kBadRequest, "malformed-header-value"),
    Refused(kMethodNotSupported, kMethodNotAllowed, "method-not-supported"),
    Refused(kHeadTooLarge, kHeaderFieldsTooLarge, "head-too-large"),
    Refused(kBodyTooLarge, kContentTooLarge, "body-too-large"),
    Refused(kSenderTooSlow, kRequestTimeout, "sender-too-slow"),
    Refused(kNoRoute, kNotFound, "no-route"),
    Refused(kKeyMissing, kPreconditionRequired, "key-missing"),
    Refused(kKeyMalformed, kBadRequest, "key-malformed"),
    Refused(kKeyNotIssued, kBadRequest, "key-not-issued"),
    Refused(kKeyReused, kUnprocessableContent, "key-reused"),
    Unknown(kThreadsExhausted, kBadGateway, "threads-exhausted"),
    NotRun(kNoConfiguration, "no-configuration"),
    Unknown(kNoConfigurationForKey, kBadGateway, "no-configuration-for-key"),
    NotRun(kUnknownService, "unknown-service"),
    NotRun(kNoTarget, "no-target"),
    NotRun(kQueueFull, "queue-full"),
    NotRun(kQueueTimeout, "queue-timeout"),
    NotRun(kDeadlineTooShort, "deadline-too-short"),
    NotRun(kRetryBudgetExhausted, "retry-budget-exhausted"),
    NotRun(kHeldBack, "held-back"),
    NotRun(kShuttingDown, "shutting-down"),
    NotRun(kCallerGone, "caller-gone"),
    NotRun(kKeyTableFull, "key-table-full"),
    Unknown(kKeyClaimUnavailable, kBadGateway, "key-claim-unavailable"),
    Unknown(kKeyClaimBudget, kBadGateway, "key-claim-budget"),
    NotRun(kFirstAttemptNotStarted, "first-attempt-not-started"),
    NotRun(kConnectionLimit, "connection-limit"),
    NotRun(kConnectFailed, "connect-failed"),
    NotRun(kNothingSent, "nothing-sent"),
    NotRun(kTargetRefused, "target-refused"),
    Unknown(kSendInterrupted, kBadGateway, "send-interrupted"),
    Unknown(kClosedBeforeResponse, kBadGateway, "closed-before-response"),
    Unknown(kClosedDuringResponse, kBadGateway, "closed-during-response"),
    Unknown(kResponseTooLarge, kBadGateway, "response-too-large"),
    Unknown(kResponseUnframed, kBadGateway, "response-unframed"),
    Unknown(kResponseMalformed, kBadGateway, "response-malformed"),
    Unknown(kResponseTimeout, kGatewayTimeout, "response-timeout"),
    Unknown(kCancelled, kBadGateway, "cancelled"),
    Unknown(kKeyExpired, kBadGateway, "key-expired"),
    Unknown(kKeySealed, kBadGateway, "key-sealed"),
    Unknown(kKeyOutcomeUnknown, kBadGateway, "key-outcome-unknown"),
    Unknown(kKeyResponseNotKept, kBadGateway, "key-response-not-kept"),
    Unknown(kKeyWaitTimeout, kGatewayTimeout, "key-wait-timeout"),
    Unknown(kKeyOwnerGone, kBadGateway, "key-owner-gone"),
    Unknown(kKeyOwnerUnreachable, kBadGateway, "key-owner-unreachable"),
    Unknown(kKeyForwardedTwice, kBadGateway, "key-forwarded-twice"),
};

constexpr bool IsOrdered() {
  for (std::size_t index = 0; index < kFailureTable.size(); ++index) {
    if (static_cast<std::size_t>(kFailureTable[index].point) != index) {
      return false;
    }
  }
  return kFailureTable.back().point == kKeyForwardedTwice;
}
static_assert(IsOrdered(), "one row for each failure point, in order");

constexpr std::array<failure_point, kFailureTable.size()> ListPoints() {
  std::array<failure_point, kFailureTable.size()> points{};
  for (std::size_t index = 0; index < points.size(); ++index) {
    points[index] = kFailureTable[index].point;
  }
  return points;
}
constexpr std::array<failure_point, kFailureTable.size()> kPoints =
    ListPoints();

}  // namespace

std::string_view OutcomeKindName(outcome_kind kind) {
  switch (kind) {
    case outcome_kind::kAnswered:
      return "answered";
    case outcome_kind::kNotRun:
      return "not-run";
    case outcome_kind::kUnknown:
      return "unknown";
    case outcome_kind::kRefused:
      return "refused";
  }
  return "unknown";
}

std::span<const failure_point> AllFailurePoints() {
  return kPoints;
}

outcome OutcomeOf(failure_point point) {
  return kFailureTable.at(static_cast<std::size_t>(point)).result;
}

failure_point FailurePointOf(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kUnknownService:
      return kUnknownService;
    case refusal_reason::kNoTarget:
      return kNoTarget;
    case refusal_reason::kQueueFull:
      return kQueueFull;
    case refusal_reason::kQueueTimeout:
      return kQueueTimeout;
    case refusal_reason::kDeadlineTooShort:
      return kDeadlineTooShort;
    case refusal_reason::kRetryBudgetExhausted:
      return kRetryBudgetExhausted;
    case refusal_reason::kHeldBack:
      return kHeldBack;
    case refusal_reason::kShuttingDown:
      return kShuttingDown;
  }
  return kNoTarget;
}

bool MayHaveStarted(failure_point point) {
  return OutcomeOf(point).kind == outcome_kind::kUnknown;
}

proxy_response MakeFailureResponse(failure_point point,
                                   std::chrono::milliseconds retry_after) {
  const outcome result = OutcomeOf(point);
  proxy_response response;
  response.status = result.status;
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add("X-Outcome", OutcomeKindName(result.kind));
  response.headers.Add("X-Outcome-Reason", result.reason);
  if (result.kind == outcome_kind::kNotRun) {
    const std::chrono::seconds rounded_up =
        std::chrono::ceil<std::chrono::seconds>(retry_after);
    const std::chrono::seconds delay =
        std::max(std::chrono::seconds(1), rounded_up);
    response.headers.Add("Retry-After", std::to_string(delay.count()));
  }
  response.body = nlohmann::json({{"outcome", OutcomeKindName(result.kind)},
                                  {"reason", result.reason}})
                      .dump();
  return response;
}

}  // namespace bulrushshore

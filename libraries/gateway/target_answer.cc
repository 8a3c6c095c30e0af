#include "libraries/gateway/target_answer.h"

#include <optional>

namespace bulrushshore {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kServiceUnavailable;
}

}  // namespace

bool BelongsToAttempt(const proxy_response& response,
                      const gateway_header_names& names,
                      std::string_view attempt_id) {
  const std::optional<std::string> id = response.headers.Find(names.attempt_id);
  return !id || *id == attempt_id;
}

answer_verdict JudgeAnswer(const proxy_response& response,
                           const gateway_header_names& names,
                           std::string_view attempt_id) {
  answer_verdict verdict;
  if (response.status == kMisdirected) {
    verdict.end = attempt_end::kNotExecuted;
    verdict.is_other_target = true;
    return verdict;
  }
  const bool states_not_executed =
      response.headers.Find(names.not_executed).has_value();
  if (PromisesNotRun(response.status)) {
    verdict.end =
        states_not_executed ? attempt_end::kNotExecuted : attempt_end::kUnknown;
    return verdict;
  }
  if (response.status >= kFirstSuccess && response.status < kFirstRedirect) {
    const bool is_genuine =
        response.headers.Find(names.signature).has_value() &&
        response.headers.Find(names.attempt_id) == attempt_id;
    verdict.is_malformed = !is_genuine;
    verdict.end = is_genuine ? attempt_end::kAnswered : attempt_end::kUnknown;
    return verdict;
  }
  if (response.status >= kFirstServerError) {
    verdict.end = attempt_end::kErrorAnswer;
  }
  return verdict;
}

}  // namespace bulrushshore

#include "libraries/gateway/response_evaluation.h"

#include <optional>

namespace bulrushshore {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

bool ImpliesNotExecuted(int status) {
  return status == kRequestTimeout || status == kMisdirectedRequest ||
         status == kTooManyRequests || status == kServiceUnavailable;
}

}  // namespace

bool BelongsToAttempt(const proxy_response& response,
                      const gateway_header_names& names,
                      std::string_view attempt_id) {
  const std::optional<std::string> id = response.headers.Find(names.attempt_id);
  return !id || *id == attempt_id;
}

response_evaluation EvaluateResponse(const proxy_response& response,
                                     const gateway_header_names& names,
                                     std::string_view attempt_id,
                                     bool is_reused) {
  response_evaluation evaluation;
  if (is_reused && !response.headers.Find(names.attempt_id)) {
    evaluation.end = attempt_end::kUnknown;
    evaluation.is_malformed = true;
    return evaluation;
  }
  if (response.status == kMisdirectedRequest) {
    evaluation.end = attempt_end::kWrongTarget;
    return evaluation;
  }
  const bool states_not_executed =
      response.headers.Find(names.not_executed).has_value();
  if (ImpliesNotExecuted(response.status)) {
    evaluation.end =
        states_not_executed ? attempt_end::kNotExecuted : attempt_end::kUnknown;
    return evaluation;
  }
  const bool is_genuine = response.headers.Find(names.signature).has_value() &&
                          response.headers.Find(names.attempt_id) == attempt_id;
  evaluation.proves_completion =
      is_genuine && !states_not_executed && response.status < kFirstServerError;
  if (response.status >= kFirstSuccess && response.status < kFirstRedirect) {
    evaluation.is_malformed = !is_genuine;
    evaluation.end =
        is_genuine ? attempt_end::kAnswered : attempt_end::kUnknown;
    return evaluation;
  }
  if (response.status >= kFirstServerError) {
    evaluation.end = attempt_end::kErrorResponse;
  }
  return evaluation;
}

}  // namespace bulrushshore

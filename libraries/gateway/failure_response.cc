#include "libraries/gateway/failure_response.h"

#include <array>
#include <cstdio>
#include <string>

namespace bulrushshore {
namespace {

constexpr int kServiceUnavailable = 503;

proxy_response MakeFailure(int status,
                           std::string_view outcome,
                           std::string_view reason) {
  proxy_response response;
  response.status = status;
  response.headers.Add("X-Outcome", outcome);
  response.headers.Add("X-Outcome-Reason", reason);
  return response;
}

std::string FormatSeconds(std::chrono::milliseconds value) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.3f",
                std::chrono::duration<double>(value).count());
  return std::string(buffer.data());
}

}  // namespace

proxy_response MakeRefusalResponse(
    std::string_view reason,
    std::optional<std::chrono::milliseconds> retry_after) {
  proxy_response response = MakeFailure(kServiceUnavailable, "not-run", reason);
  if (retry_after) {
    response.headers.Add("Retry-After", FormatSeconds(*retry_after));
  }
  return response;
}

proxy_response MakeUnknownOutcomeResponse(int status, std::string_view reason) {
  return MakeFailure(status, "unknown", reason);
}

proxy_response MakeInvalidRequestResponse(int status, std::string_view reason) {
  return MakeFailure(status, "refused", reason);
}

}  // namespace bulrushshore

#include "libraries/caller/outcome.h"

#include <charconv>
#include <cstdint>

namespace bulrushshore {

std::string_view CallOutcomeName(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kAnswered:
      return "answered";
    case call_outcome::kNotRun:
      return "not_run";
    case call_outcome::kUnknown:
      return "unknown";
    case call_outcome::kRefused:
      return "refused";
  }
  return "unknown";
}

call_outcome ClassifyResponse(const transport_response& response) {
  const std::optional<std::string_view> header =
      FindHeader(response.headers, "X-Outcome");
  if (!header || *header == "answered") {
    return call_outcome::kAnswered;
  }
  if (*header == "not-run") {
    return call_outcome::kNotRun;
  }
  if (*header == "refused") {
    return call_outcome::kRefused;
  }
  // A value that this version does not know proves nothing.
  return call_outcome::kUnknown;
}

call_outcome ClassifyFailure(transport_failure failure) {
  return failure == transport_failure::kConnectFailed ? call_outcome::kNotRun
                                                      : call_outcome::kUnknown;
}

std::optional<duration> RetryAfterOf(const transport_response& response) {
  const std::optional<std::string_view> header =
      FindHeader(response.headers, "Retry-After");
  if (!header) {
    return std::nullopt;
  }
  std::uint32_t seconds = 0;
  const char* const end = header->data() + header->size();
  const std::from_chars_result conversion =
      std::from_chars(header->data(), end, seconds);
  if (conversion.ec != std::errc() || conversion.ptr != end) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace bulrushshore

#include "libraries/http/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "libraries/http/http_message.h"

namespace bulrushshore {
namespace {

// Keeps the conversion to milliseconds from overflowing.
constexpr double kMaxSeconds = 86'400.0;

}  // namespace

std::optional<std::chrono::milliseconds> ParseRetryAfter(
    std::string_view text) {
  const std::string_view number = TrimWhitespace(text);
  double seconds = 0.0;
  const char* const end = number.data() + number.size();
  const std::from_chars_result parsed =
      std::from_chars(number.data(), end, seconds, std::chars_format::fixed);
  const bool is_number = !number.empty() && parsed.ec == std::errc() &&
                         parsed.ptr == end && std::isfinite(seconds) &&
                         !std::signbit(seconds);
  if (!is_number) {
    return std::nullopt;
  }
  return std::chrono::round<std::chrono::milliseconds>(
      std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

}  // namespace bulrushshore

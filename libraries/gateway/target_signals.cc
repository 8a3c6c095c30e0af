#include "libraries/gateway/target_signals.h"

#include <string>

#include "libraries/http/retry_after.h"

namespace bulrushshore {
namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

target_signals ReadTargetSignals(const proxy_response& response,
                                 const gateway_header_names& names) {
  target_signals signals;
  signals.is_leaving = response.headers.Find(names.leaving) == "1";
  if (response.status != kServiceUnavailable) {
    return signals;
  }
  const std::optional<std::string> value = response.headers.Find("Retry-After");
  if (value) {
    signals.requested_rest = ParseRetryAfter(*value);
    signals.is_rest_unreadable = !signals.requested_rest;
  }
  return signals;
}

}  // namespace bulrushshore

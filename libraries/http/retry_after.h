#ifndef LIBRARIES_HTTP_RETRY_AFTER_H_
#define LIBRARIES_HTTP_RETRY_AFTER_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace bulrushshore {

// Parses the value of a Retry-After header that states seconds, possibly with a
// fraction. Values over a day are reduced to a day. Returns nothing if `text`
// is not such a number; dates are not supported, because the clocks of hosts
// and targets may differ. Thread safe.
std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text);

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_RETRY_AFTER_H_

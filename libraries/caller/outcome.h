#ifndef LIBRARIES_CALLER_OUTCOME_H_
#define LIBRARIES_CALLER_OUTCOME_H_

#include <optional>
#include <string_view>

#include "libraries/base/clock.h"
#include "libraries/caller/caller_transport.h"

namespace bulrushshore {

// What is known about a request after one attempt or after all of them.
enum class call_outcome {
  // The response is the target's own.
  kAnswered,
  // The work did not run; it may be sent again.
  kNotRun,
  // The work may have run; it may be sent again with the same key only.
  kUnknown,
  // The request itself is at fault; sending it again has no use.
  kRefused,
};

// Returns the stable name, for example "not_run". Thread safe.
std::string_view CallOutcomeName(call_outcome outcome);

// Reads the outcome from the X-Outcome header. A response without this header
// is the target's own. Thread safe.
call_outcome ClassifyResponse(const transport_response& response);

// Returns the outcome of an attempt that got no response. Thread safe.
call_outcome ClassifyFailure(transport_failure failure);

// Returns the delay that the Retry-After header asks for, in seconds; nothing
// if it is missing or no number. Thread safe.
std::optional<duration> RetryAfterOf(const transport_response& response);

}  // namespace bulrushshore

#endif  // LIBRARIES_CALLER_OUTCOME_H_

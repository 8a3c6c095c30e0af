#ifndef LIBRARIES_GATEWAY_FAILURE_RESPONSE_H_
#define LIBRARIES_GATEWAY_FAILURE_RESPONSE_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "libraries/http/http_message.h"

namespace bulrushshore {

// Returns the 503 response to a request that has not run and will not run.
// `retry_after` tells the caller when to retry. Thread safe.
proxy_response MakeRefusalResponse(
    std::string_view reason,
    std::optional<std::chrono::milliseconds> retry_after);

// Returns the response with `status` (502 or 504) to a request that may have
// run. Thread safe.
proxy_response MakeUnknownOutcomeResponse(int status, std::string_view reason);

// Returns the response with `status` to an invalid request. Thread safe.
proxy_response MakeInvalidRequestResponse(int status, std::string_view reason);

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_FAILURE_RESPONSE_H_

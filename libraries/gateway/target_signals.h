#ifndef LIBRARIES_GATEWAY_TARGET_SIGNALS_H_
#define LIBRARIES_GATEWAY_TARGET_SIGNALS_H_

#include <chrono>
#include <optional>

#include "libraries/gateway/response_evaluation.h"
#include "libraries/http/http_message.h"

namespace bulrushshore {

// What a target states about itself in the headers of a response, apart from
// what happened to the request.
struct target_signals {
  // The target will stop soon.
  bool is_leaving = false;
  // The target wants no requests from this host for this time.
  std::optional<std::chrono::milliseconds> requested_rest;
  // The target asked for a rest whose duration cannot be read.
  bool is_rest_unreadable = false;
};

// Reads the signals of `response`. Only a response with status 503 can ask for
// a rest. Thread safe.
target_signals ReadTargetSignals(const proxy_response& response,
                                 const gateway_header_names& names);

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_TARGET_SIGNALS_H_

#ifndef LIBRARIES_GATEWAY_RESPONSE_EVALUATION_H_
#define LIBRARIES_GATEWAY_RESPONSE_EVALUATION_H_

#include <string>
#include <string_view>

#include "libraries/gateway/attempt_plan.h"
#include "libraries/http/http_message.h"

namespace bulrushshore {

// Names of the HTTP headers that hosts exchange with callers and targets.
struct gateway_header_names {
  // Identifies one attempt of a caller. Targets copy it into their responses.
  std::string attempt_id;
  // Milliseconds that the sender waits for the response.
  std::string deadline;
  // Proves that a target created the response.
  std::string signature;
  // Id of the target that the request is meant for. Other targets refuse it.
  std::string expected_target;
  // Marks the response to a request that the target did not run.
  std::string not_executed;
  // Value "1" marks the responses of a target that is leaving: it will stop
  // soon and should receive no further requests.
  std::string leaving;
};

// What a target's response means for its request.
struct response_evaluation {
  attempt_end end = attempt_end::kAnswered;
  // The response lacks the proof that the target created it for this attempt.
  bool is_malformed = false;
  // The target has run the request to its end and remained alive, which clears
  // the request of the suspicion that it crashes targets. An error response
  // (status 500 and above) does not prove this: a failing target returns it
  // without running the request.
  bool proves_completion = false;
};

// Returns true if `response` belongs to the attempt `attempt_id`. A response
// without an id counts as belonging to it, because some refusals carry none.
// Thread safe.
bool BelongsToAttempt(const proxy_response& response,
                      const gateway_header_names& names,
                      std::string_view attempt_id);

// Evaluates a target's response. A status that implies that the request did not
// run (408, 429 or 503) is taken as proof of this only with the
// `not_executed` header, because the caller may then repeat the request. Status
// 421 is proof without the header. `is_reused` states that the connection has
// carried earlier requests: a response without an attempt id may then be a late
// copy of the response to one of them, and proves nothing. Thread safe.
response_evaluation EvaluateResponse(const proxy_response& response,
                                     const gateway_header_names& names,
                                     std::string_view attempt_id,
                                     bool is_reused);

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_RESPONSE_EVALUATION_H_

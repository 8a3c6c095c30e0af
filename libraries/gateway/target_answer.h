#ifndef LIBRARIES_GATEWAY_TARGET_ANSWER_H_
#define LIBRARIES_GATEWAY_TARGET_ANSWER_H_

#include <string>
#include <string_view>

#include "libraries/gateway/attempt_plan.h"
#include "libraries/http/http_message.h"

namespace bulrushshore {

// The names of the headers that hosts exchange with callers and targets.
struct gateway_header_names {
  // Names one attempt of a caller; targets repeat it in their answers.
  std::string attempt_id;
  // Milliseconds that the sender waits for the answer.
  std::string deadline;
  // Proves that a target made the answer.
  std::string signature;
  // The target for which the request is meant; others refuse it.
  std::string expected_target;
  // Marks an answer to a request that the target did not run.
  std::string not_executed;
};

// What an answer of a target means for its request.
struct answer_verdict {
  attempt_end end = attempt_end::kAnswered;
  // Another target has the address.
  bool is_other_target = false;
  // The answer does not come from the target's service.
  bool is_malformed = false;
};

// Returns true if `response` answers the attempt `attempt_id`. An answer
// without an id belongs to it too, because some refusals carry none. Thread
// safe.
bool BelongsToAttempt(const proxy_response& response,
                      const gateway_header_names& names,
                      std::string_view attempt_id);

// Judges an answer of a target. A status that promises "not run" counts only
// with the header that states so, because it would be passed on to the caller
// as that promise. Thread safe.
answer_verdict JudgeAnswer(const proxy_response& response,
                           const gateway_header_names& names,
                           std::string_view attempt_id);

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_TARGET_ANSWER_H_

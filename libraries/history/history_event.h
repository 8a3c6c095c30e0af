#ifndef LIBRARIES_HISTORY_HISTORY_EVENT_H_
#define LIBRARIES_HISTORY_HISTORY_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

#include "libraries/base/result.h"

namespace bulrushshore {

// How a call, or one attempt of it, ended for its caller.
enum class recorded_outcome { kAnswered, kNotRun, kUnknown, kRefused };

// Whether and how a caller may send the same work again.
enum class recorded_repeat { kIdempotent, kKeyed, kOnce };

// How work ended on a target.
enum class work_outcome { kCompleted, kFailed, kCancelled, kTimedOut };

// A caller starts an operation. `operation` is unique among all callers; the
// request id of each attempt is "<operation>.<attempt number>".
struct invocation_event {
  std::string operation;
  std::string service;
  recorded_repeat repeat = recorded_repeat::kIdempotent;
  std::int64_t unix_ms = 0;
};

// A caller starts to send an attempt to a host.
struct attempt_start_event {
  std::string operation;
  std::string request_id;
  std::string host;
  // Empty if the attempt carries no idempotency key.
  std::string key;
  std::int64_t unix_ms = 0;
};

// An attempt ended with a response, or with a transport failure.
struct attempt_end_event {
  std::string request_id;
  recorded_outcome outcome = recorded_outcome::kUnknown;
  // HTTP status, 0 without a response.
  int status = 0;
  // X-Outcome-Reason of the host, or the name of the transport failure.
  std::string reason;
  std::int64_t unix_ms = 0;
};

// What the response of a stand-in target said.
struct recorded_answer {
  // False if the body was incomplete or did not match its checksum; the other
  // fields are empty then.
  bool intact = false;
  std::string request_id;
  std::string key;
  std::string run;
};

// An operation ended for its caller.
struct completion_event {
  std::string operation;
  recorded_outcome outcome = recorded_outcome::kUnknown;
  std::string key;
  std::string host;
  std::string reason;
  int status = 0;
  // Present if the outcome is kAnswered with a 2xx status.
  std::optional<recorded_answer> answer;
  std::int64_t unix_ms = 0;
};

// A target starts work. `run` is unique among all executions of all targets.
struct work_start_event {
  std::string run;
  std::string target;
  // Differs between the processes that a target had.
  std::string incarnation;
  std::string request_id;
  std::string key;
  std::string kind;
  std::int64_t unix_ms = 0;
};

// Work ended on a target.
struct work_end_event {
  std::string run;
  work_outcome outcome = work_outcome::kCompleted;
  std::int64_t unix_ms = 0;
};

// A target process ends after a graceful stop.
struct target_exit_event {
  std::string target;
  std::string incarnation;
  std::int64_t unix_ms = 0;
};

// A host was told to stop gracefully at `begin_ms` and its process ended at
// `end_ms`. Written by whoever stopped it.
struct host_stop_event {
  std::string host;
  std::int64_t begin_ms = 0;
  std::int64_t end_ms = 0;
};

using history_event = std::variant<invocation_event,
                                   attempt_start_event,
                                   attempt_end_event,
                                   completion_event,
                                   work_start_event,
                                   work_end_event,
                                   target_exit_event,
                                   host_stop_event>;

// Returns the stable lower-case names used in history files. Thread safe.
std::string_view RecordedOutcomeName(recorded_outcome outcome);
std::string_view RecordedRepeatName(recorded_repeat repeat);
std::string_view WorkOutcomeName(work_outcome outcome);

// Returns the JSON object for a line of a history file: the fields of `event`
// and "event", its type. Thread safe.
nlohmann::json ToJson(const history_event& event);

// Reads a line of a history file. kDataLoss if it is no JSON object,
// kInvalidArgument if it is none of the events. Unknown fields are ignored.
// Thread safe.
result<history_event> ParseHistoryEvent(std::string_view line);

}  // namespace bulrushshore

#endif  // LIBRARIES_HISTORY_HISTORY_EVENT_H_

#include "utilities/caller_tool/history_recorder.h"

#include <cstdlib>
#include <utility>

#include "libraries/history/work_answer.h"
#include "libraries/telemetry/audit.h"

namespace bulrushshore {
namespace {

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

recorded_outcome ToRecorded(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kAnswered:
      return recorded_outcome::kAnswered;
    case call_outcome::kNotRun:
      return recorded_outcome::kNotRun;
    case call_outcome::kUnknown:
      return recorded_outcome::kUnknown;
    case call_outcome::kRefused:
      return recorded_outcome::kRefused;
  }
  return recorded_outcome::kUnknown;
}

recorded_repeat ToRecorded(repeat_policy policy) {
  switch (policy) {
    case repeat_policy::kIdempotent:
      return recorded_repeat::kIdempotent;
    case repeat_policy::kKeyed:
      return recorded_repeat::kKeyed;
    case repeat_policy::kOnce:
      return recorded_repeat::kOnce;
  }
  return recorded_repeat::kOnce;
}

recorded_answer ReadAnswer(const transport_response& response) {
  const result<work_answer> parsed = ParseWorkAnswer(response.body);
  if (!IsOk(parsed)) {
    return {};
  }
  const work_answer& answer = ValueOf(parsed);
  return {true, answer.request_id, answer.key, answer.run};
}

}  // namespace

history_recorder::history_recorder(std::unique_ptr<json_line_file> file)
    : file_(std::move(file)) {}

void history_recorder::RecordInvocation(const call_request& request) {
  Append(invocation_event{request.request_id, request.service,
                          ToRecorded(request.repeat), CurrentUnixTimeMs()});
}

void history_recorder::RecordCompletion(const call_request& request,
                                        const call_result& result) {
  completion_event event;
  event.operation = request.request_id;
  event.outcome = ToRecorded(result.outcome);
  event.key = result.key;
  event.host = result.host;
  event.reason = result.reason;
  event.unix_ms = CurrentUnixTimeMs();
  if (result.response) {
    event.status = result.response->status;
  }
  if (result.outcome == call_outcome::kAnswered && IsSuccess(event.status)) {
    event.answer = ReadAnswer(*result.response);
  }
  Append(event);
}

void history_recorder::OnKey(const call_request& /*request*/,
                             std::string_view /*key*/) {
  // The start of the attempt records the key as well.
}

void history_recorder::OnAttemptStart(const call_request& request,
                                      const call_attempt& attempt) {
  Append(attempt_start_event{request.request_id, attempt.request_id,
                             attempt.host, attempt.key, CurrentUnixTimeMs()});
}

void history_recorder::OnAttemptEnd(const call_request& /*request*/,
                                    const call_attempt& attempt) {
  Append(attempt_end_event{attempt.request_id, ToRecorded(attempt.outcome),
                           attempt.status, attempt.reason,
                           CurrentUnixTimeMs()});
}

void history_recorder::Append(const history_event& event) {
  if (file_ == nullptr) {
    return;
  }
  if (!IsOk(file_->Append(ToJson(event)))) {
    // A history with a gap would hide faults from the checker.
    std::abort();
  }
}

}  // namespace bulrushshore

#include "utilities/caller_tool/history_recorder.h"

#include <cstdlib>
#include <utility>

#include "libraries/history/work_answer.h"
#include "libraries/telemetry/audit.h"
#include "utilities/caller_tool/work_mix.h"

namespace bulrushshore {
namespace {

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

nlohmann::json DescribeAnswer(const transport_response& response) {
  const result<work_answer> parsed = ParseWorkAnswer(response.body);
  if (!IsOk(parsed)) {
    return {{"intact", false}};
  }
  const work_answer& answer = ValueOf(parsed);
  return {{"intact", true},
          {"request_id", answer.request_id},
          {"key", answer.key},
          {"run", answer.run}};
}

}  // namespace

history_recorder::history_recorder(std::unique_ptr<json_line_file> file)
    : file_(std::move(file)) {}

void history_recorder::RecordInvocation(const call_request& request) {
  Append({{"event", "invoke"},
          {"operation", request.request_id},
          {"service", request.service},
          {"repeat", RepeatPolicyName(request.repeat)},
          {"unix_ms", CurrentUnixTimeMs()}});
}

void history_recorder::RecordCompletion(const call_request& request,
                                        const call_result& result) {
  nlohmann::json line = {{"event", "complete"},
                         {"operation", request.request_id},
                         {"outcome", CallOutcomeName(result.outcome)},
                         {"key", result.key},
                         {"host", result.host},
                         {"reason", result.reason},
                         {"attempts", result.attempts},
                         {"unix_ms", CurrentUnixTimeMs()}};
  if (result.response) {
    line["status"] = result.response->status;
  }
  if (result.outcome == call_outcome::kAnswered && result.response &&
      IsSuccess(result.response->status)) {
    line["answer"] = DescribeAnswer(*result.response);
  }
  Append(line);
}

void history_recorder::OnKey(const call_request& request,
                             std::string_view key) {
  Append({{"event", "key"}, {"operation", request.request_id}, {"key", key}});
}

void history_recorder::OnAttemptStart(const call_request& request,
                                      const call_attempt& attempt) {
  Append({{"event", "attempt_start"},
          {"operation", request.request_id},
          {"request_id", attempt.request_id},
          {"host", attempt.host},
          {"key", attempt.key},
          {"unix_ms", CurrentUnixTimeMs()}});
}

void history_recorder::OnAttemptEnd(const call_request& request,
                                    const call_attempt& attempt) {
  nlohmann::json line = {{"event", "attempt_end"},
                         {"operation", request.request_id},
                         {"request_id", attempt.request_id},
                         {"host", attempt.host},
                         {"outcome", CallOutcomeName(attempt.outcome)},
                         {"reason", attempt.reason},
                         {"status", attempt.status},
                         {"unix_ms", CurrentUnixTimeMs()}};
  if (attempt.failure) {
    line["failure"] = TransportFailureName(*attempt.failure);
  }
  Append(line);
}

void history_recorder::Append(const nlohmann::json& line) {
  if (file_ == nullptr) {
    return;
  }
  if (!IsOk(file_->Append(line))) {
    // A history with a gap would hide faults from the checker.
    std::abort();
  }
}

}  // namespace bulrushshore

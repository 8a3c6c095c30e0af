#include "libraries/history/operation_history.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

error Contradiction(std::string_view what, const std::string& subject) {
  return error{error_code::kInvalidArgument,
               std::string(what) + " \"" + subject + "\""};
}

}  // namespace

std::string_view OperationOfRequest(std::string_view request_id) {
  return request_id.substr(0, request_id.rfind('.'));
}

struct operation_history::event_adder {
  operation_history& history;

  template <typename Event>
  status operator()(const Event& event) const {
    return history.AddEvent(event);
  }
};

status operation_history::Add(const history_event& event) {
  return std::visit(event_adder{*this}, event);
}

status operation_history::AddFile(std::string_view name, std::istream& input) {
  std::string line;
  for (std::uint64_t number = 1; std::getline(input, line); ++number) {
    const bool is_last_without_end = input.eof();
    const result<history_event> event = ParseHistoryEvent(line);
    if (!IsOk(event) && is_last_without_end) {
      ++incomplete_lines_;
      return OkStatus();
    }
    const status added =
        IsOk(event) ? Add(ValueOf(event)) : status(ErrorOf(event));
    if (!IsOk(added)) {
      return error{ErrorOf(added).code, std::string(name) + ":" +
                                            std::to_string(number) + ": " +
                                            ErrorOf(added).message};
    }
  }
  return OkStatus();
}

status operation_history::AddEvent(const invocation_event& event) {
  operation_record& operation = operations_[event.operation];
  if (operation.invocation) {
    return Contradiction("a second invocation of", event.operation);
  }
  operation.invocation = event;
  return OkStatus();
}

status operation_history::AddEvent(const attempt_start_event& event) {
  operations_[event.operation].attempts.push_back({event, std::nullopt});
  return OkStatus();
}

status operation_history::AddEvent(const attempt_end_event& event) {
  const auto operation =
      operations_.find(std::string(OperationOfRequest(event.request_id)));
  if (operation == operations_.end()) {
    return Contradiction("the end of an unknown attempt", event.request_id);
  }
  std::vector<attempt_record>& attempts = operation->second.attempts;
  const auto attempt = std::find_if(
      attempts.begin(), attempts.end(), [&event](const attempt_record& known) {
        return known.start.request_id == event.request_id;
      });
  if (attempt == attempts.end() || attempt->end) {
    return Contradiction("an unexpected end of attempt", event.request_id);
  }
  attempt->end = event;
  return OkStatus();
}

status operation_history::AddEvent(const completion_event& event) {
  operations_[event.operation].completions.push_back(event);
  return OkStatus();
}

status operation_history::AddEvent(const work_start_event& event) {
  if (!runs_.try_emplace(event.run, run_record{event, std::nullopt}).second) {
    return Contradiction("a second start of run", event.run);
  }
  return OkStatus();
}

status operation_history::AddEvent(const work_end_event& event) {
  const auto run = runs_.find(event.run);
  if (run == runs_.end() || run->second.end) {
    return Contradiction("an unexpected end of run", event.run);
  }
  run->second.end = event;
  return OkStatus();
}

status operation_history::AddEvent(const target_exit_event& event) {
  target_exits_.push_back(event);
  return OkStatus();
}

status operation_history::AddEvent(const host_stop_event& event) {
  host_stops_.push_back(event);
  return OkStatus();
}

}  // namespace bulrushshore

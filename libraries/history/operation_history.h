#ifndef LIBRARIES_HISTORY_OPERATION_HISTORY_H_
#define LIBRARIES_HISTORY_OPERATION_HISTORY_H_

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/history/history_event.h"

namespace bulrushshore {

// An attempt of an operation; `end` is missing if the caller did not live to
// see it.
struct attempt_record {
  attempt_start_event start;
  std::optional<attempt_end_event> end;
};

// An operation as its caller saw it.
struct operation_record {
  std::optional<invocation_event> invocation;
  std::vector<attempt_record> attempts;
  std::vector<completion_event> completions;
};

// One execution of work; `end` is missing if the target did not live to see it.
struct run_record {
  work_start_event start;
  std::optional<work_end_event> end;
};

// All that callers, targets and whoever stopped hosts have recorded. Records
// may be added in any order of files, but each file in its own order. Not
// thread safe.
class operation_history {
 public:
  // Adds `event`. kInvalidArgument if it contradicts earlier events, such as
  // the end of an attempt that never started.
  status Add(const history_event& event);

  // Adds each line of `input`, which is named `name` in errors. A last line
  // without its end is counted instead: its writer crashed. Returns the first
  // error.
  status AddFile(std::string_view name, std::istream& input);

  // By operation.
  const std::map<std::string, operation_record>& operations() const {
    return operations_;
  }
  // By run.
  const std::map<std::string, run_record>& runs() const { return runs_; }
  const std::vector<target_exit_event>& target_exits() const {
    return target_exits_;
  }
  const std::vector<host_stop_event>& host_stops() const { return host_stops_; }
  std::uint64_t incomplete_lines() const { return incomplete_lines_; }

 private:
  struct event_adder;

  status AddEvent(const invocation_event& event);
  status AddEvent(const attempt_start_event& event);
  status AddEvent(const attempt_end_event& event);
  status AddEvent(const completion_event& event);
  status AddEvent(const work_start_event& event);
  status AddEvent(const work_end_event& event);
  status AddEvent(const target_exit_event& event);
  status AddEvent(const host_stop_event& event);

  std::map<std::string, operation_record> operations_;
  std::map<std::string, run_record> runs_;
  std::vector<target_exit_event> target_exits_;
  std::vector<host_stop_event> host_stops_;
  std::uint64_t incomplete_lines_ = 0;
};

// Returns the operation that `request_id` belongs to: all but ".<attempt>".
// Thread safe.
std::string_view OperationOfRequest(std::string_view request_id);

}  // namespace bulrushshore

#endif  // LIBRARIES_HISTORY_OPERATION_HISTORY_H_

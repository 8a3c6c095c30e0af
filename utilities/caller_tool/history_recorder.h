#ifndef UTILITIES_CALLER_TOOL_HISTORY_RECORDER_H_
#define UTILITIES_CALLER_TOOL_HISTORY_RECORDER_H_

#include <memory>

#include "libraries/caller/caller.h"
#include "libraries/history/history_event.h"
#include "libraries/history/json_line_file.h"

namespace bulrushshore {

// Writes the calls of a process to a history file. Without a file it does
// nothing. Thread safe.
class history_recorder : public call_observer {
 public:
  // `file` may be null.
  explicit history_recorder(std::unique_ptr<json_line_file> file);

  // Records that the call starts.
  void RecordInvocation(const call_request& request);

  // Records how the call ended, with what its response says if it is the
  // response of a stand-in target.
  void RecordCompletion(const call_request& request, const call_result& result);

  void OnKey(const call_request& request, std::string_view key) override;
  void OnAttemptStart(const call_request& request,
                      const call_attempt& attempt) override;
  void OnAttemptEnd(const call_request& request,
                    const call_attempt& attempt) override;

 private:
  void Append(const history_event& event);

  const std::unique_ptr<json_line_file> file_;
};

}  // namespace bulrushshore

#endif  // UTILITIES_CALLER_TOOL_HISTORY_RECORDER_H_

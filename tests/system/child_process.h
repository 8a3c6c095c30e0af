#ifndef TESTS_SYSTEM_CHILD_PROCESS_H_
#define TESTS_SYSTEM_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace bulrushshore {

// A process that this one has started; killed at the end if it still runs.
// Used by one thread, and only as long as the thread that started it runs.
class child_process {
 public:
  // Starts `arguments[0]` with its output in `output_path`.
  child_process(const std::vector<std::string>& arguments,
                const std::string& output_path);
  ~child_process();

  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  // Sends `signal_number`, unless the process has ended.
  void Signal(int signal_number);

  // Returns whether the process has ended. Does not block.
  bool HasEnded();

  // Waits up to `limit` for the end; returns whether it came.
  bool WaitForEnd(std::chrono::milliseconds limit);

  // Returns the exit code, or -1 if the process runs or was ended by a signal.
  int exit_code() const { return exit_code_; }

 private:
  pid_t id_ = -1;
  bool has_ended_ = false;
  int exit_code_ = -1;
};

}  // namespace bulrushshore

#endif  // TESTS_SYSTEM_CHILD_PROCESS_H_

#ifndef BENCHMARKS_IN_FORCE_CHILD_PROCESS_H_
#define BENCHMARKS_IN_FORCE_CHILD_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace bulrushshore {

// A program that this process started. It is killed at the end of this object,
// and with the thread that started it. Not thread safe.
class child_process {
 public:
  // Starts a program with its output appended to `output_file`. Null if that is
  // not possible. Precondition: `arguments` starts with the path of the
  // program.
  static std::unique_ptr<child_process> Start(
      const std::vector<std::string>& arguments,
      const std::string& output_file);
  ~child_process();

  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  // Sends a signal. Precondition: Wait() was not called.
  void Signal(int signal_number) const;

  // Waits for the end of the program and returns its exit code, or -1 if a
  // signal ended it.
  int Wait();

  // Returns the processor time used so far in seconds, in steps of a clock tick
  // (10 ms). 0 if it cannot be read.
  double ProcessorSeconds() const;

 private:
  explicit child_process(pid_t process) : process_(process) {}

  pid_t process_ = 0;
  bool has_ended_ = false;
};

}  // namespace bulrushshore

#endif  // BENCHMARKS_IN_FORCE_CHILD_PROCESS_H_

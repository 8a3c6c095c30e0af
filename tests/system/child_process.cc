#include "tests/system/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace bulrushshore {
namespace {

constexpr std::chrono::milliseconds kPollInterval(10);

[[noreturn]] void Execute(std::vector<char*>& arguments,
                          const std::string& output_path) {
  constexpr mode_t kPermissions = 0644;
  constexpr int kCannotExecute = 127;
  // The end of this program, also by a time-out of CTest, ends the fleet.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
      ::open(output_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, kPermissions);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::execv(arguments[0], arguments.data());
  ::_exit(kCannotExecute);
}

}  // namespace

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& output_path) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  id_ = ::fork();
  if (id_ == 0) {
    Execute(pointers, output_path);
  }
  has_ended_ = id_ < 0;
}

child_process::~child_process() {
  if (!HasEnded()) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
}

void child_process::Signal(int signal_number) {
  if (!HasEnded()) {
    ::kill(id_, signal_number);
  }
}

bool child_process::HasEnded() {
  if (has_ended_) {
    return true;
  }
  int state = 0;
  if (::waitpid(id_, &state, WNOHANG) != id_) {
    return false;
  }
  has_ended_ = true;
  exit_code_ = WIFEXITED(state) ? WEXITSTATUS(state) : -1;
  return true;
}

bool child_process::WaitForEnd(std::chrono::milliseconds limit) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + limit;
  while (!HasEnded()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace bulrushshore

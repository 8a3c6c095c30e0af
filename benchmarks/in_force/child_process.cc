#include "benchmarks/in_force/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace bulrushshore {
namespace {

constexpr int kCannotExecute = 127;

// Runs between fork() and exec(), so that it makes system calls only.
[[noreturn]] void RunProgram(const std::vector<char*>& arguments,
                             int output_descriptor) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(output_descriptor, STDOUT_FILENO);
  ::dup2(output_descriptor, STDERR_FILENO);
  ::execv(arguments[0], arguments.data());
  ::_exit(kCannotExecute);
}

}  // namespace

std::unique_ptr<child_process> child_process::Start(
    const std::vector<std::string>& arguments,
    const std::string& output_file) {
  constexpr int kMode = 0644;
  const int output = ::open(output_file.c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  if (output < 0) {
    return nullptr;
  }
  std::vector<std::string> texts = arguments;
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  const pid_t process = ::fork();
  if (process == 0) {
    RunProgram(pointers, output);
  }
  ::close(output);
  if (process < 0) {
    return nullptr;
  }
  return std::unique_ptr<child_process>(new child_process(process));
}

child_process::~child_process() {
  if (!has_ended_) {
    Signal(SIGKILL);
    Wait();
  }
}

void child_process::Signal(int signal_number) const {
  ::kill(process_, signal_number);
}

int child_process::Wait() {
  int state = 0;
  ::waitpid(process_, &state, 0);
  has_ended_ = true;
  return WIFEXITED(state) ? WEXITSTATUS(state) : -1;
}

double child_process::ProcessorSeconds() const {
  std::ifstream file("/proc/" + std::to_string(process_) + "/stat");
  std::string line;
  std::getline(file, line);
  // The name of the program stands in parentheses and may contain spaces.
  const std::size_t name_end = line.rfind(')');
  if (name_end == std::string::npos) {
    return 0.0;
  }
  std::istringstream fields(line.substr(name_end + 1));
  constexpr int kFieldsBeforeTimes = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeTimes; ++field) {
    fields >> skipped;
  }
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) /
         static_cast<double>(::sysconf(_SC_CLK_TCK));
}

}  // namespace bulrushshore

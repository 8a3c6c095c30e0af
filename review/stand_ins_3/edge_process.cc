#include "review/stand_ins_3/edge_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>

#include "platform/names.h"
#include "review/stand_ins_3/text_template.h"

namespace bulrushshore::review {
namespace {

constexpr std::uint16_t kCallerPort = 8641;
constexpr std::uint16_t kDiscoveryPort = 8644;

// "stable-window-ms", and some time for the measurement.
constexpr std::chrono::milliseconds kStableWindow{3050};

[[noreturn]] void Execute(const std::string& program,
                          const std::string& settings_path,
                          const std::string& log_path) {
  constexpr mode_t kPermissions = 0644;
  constexpr int kCannotExecute = 127;
  // The end of this program ends the host.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
      ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, kPermissions);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::setenv(platform_names::kSettingsVariable, settings_path.c_str(), 1);
  std::string name = program;
  char* const arguments[] = {name.data(), nullptr};
  ::execv(program.c_str(), arguments);
  ::_exit(kCannotExecute);
}

}  // namespace

edge_process::edge_process(const settings& values, const clock& time)
    : settings_(values), time_(time) {}

edge_process::~edge_process() {
  if (!HasEnded()) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
}

void edge_process::Start(bool is_fleet_start) {
  const std::string base = settings_.work_folder + "/" + settings_.node;
  std::ofstream(base + ".conf")
      << FillTemplate(settings_.templates + "/settings.conf",
                      {{"NODE", settings_.node},
                       {"IP", settings_.ip},
                       {"BOOTSTRAP", is_fleet_start ? "true" : "false"},
                       {"STORE", FormatEndpoint(settings_.store)}});
  started_at_ = time_.Now();
  disturbed_at_ = started_at_;
  id_ = ::fork();
  if (id_ == 0) {
    Execute(settings_.program, base + ".conf", base + ".log");
  }
}

void edge_process::Signal(int number) {
  if (!HasEnded()) {
    NoteDisturbance();
    ::kill(id_, number);
  }
}

bool edge_process::HasEnded() {
  if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_) {
    id_ = -1;
  }
  return id_ <= 0;
}

bool edge_process::WasInTouch(time_point moment) const {
  return id_ > 0 && moment - disturbed_at_ >= kStableWindow;
}

void edge_process::NoteDisturbance() {
  disturbed_at_ = time_.Now();
}

endpoint edge_process::caller_address() const {
  return {settings_.ip, kCallerPort};
}

endpoint edge_process::discovery_address() const {
  return {settings_.ip, kDiscoveryPort};
}

}  // namespace bulrushshore::review

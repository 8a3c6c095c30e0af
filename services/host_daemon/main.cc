// bulrushd: the host daemon.
//
// Exit codes: 0 stopped gracefully with every request answered, 1 requests were
// cut off at the shutdown limit or by a second signal, 2 wrong usage or faulty
// settings, 3 an address cannot be bound.

#include <malloc.h>
#include <pthread.h>

#include <csignal>
#include <ctime>
#include <iostream>
#include <string>
#include <variant>

#include <gflags/gflags.h>

#include "libraries/settings/settings_reader.h"
#include "libraries/telemetry/log.h"
#include "services/host_daemon/daemon_settings.h"
#include "services/host_daemon/host_daemon.h"

DEFINE_string(settings, "", "INI file with the settings of this host");
DEFINE_bool(check_config, false, "check the settings and exit");

namespace bulrushshore {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitCutOff = 1;
constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

// Signals are taken by waiting for them in the main thread, so that no code
// runs in a signal handler.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Each arena of the allocator keeps the memory of the largest snapshot that was
// built in it. With one arena per thread a host with a full-size configuration
// grew by 12 to 30 MB per change.
void LimitArenas() {
  constexpr int kArenas = 1;
  (void)mallopt(M_ARENA_MAX, kArenas);
}

void WaitForSignal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

// Returns true if a signal came within `limit`.
bool WaitForSignal(const sigset_t& signals, std::chrono::milliseconds limit) {
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
  timespec wait{};
  wait.tv_sec = limit.count() / kMillisecondsPerSecond;
  wait.tv_nsec =
      limit.count() % kMillisecondsPerSecond * kNanosecondsPerMillisecond;
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

int RunDaemon(const daemon_settings& settings, const sigset_t& signals) {
  host_daemon daemon(settings);
  const status started = daemon.Start();
  if (!IsOk(started)) {
    std::cerr << "bulrushd: " << ErrorOf(started).message << "\n";
    return kExitCannotListen;
  }
  LogEvent(log_level::kInfo, "daemon_started",
           {{"host", settings.id},
            {"zone", settings.zone},
            {"caller_address", FormatEndpoint(settings.caller_address)}});
  WaitForSignal(signals);
  LogEvent(log_level::kInfo, "daemon_leaving", {{"host", settings.id}});
  daemon.BeginLeaving();
  WaitForSignal(signals, settings.leaving_grace);
  const shutdown_report report = daemon.Stop();
  LogEvent(log_level::kInfo, "daemon_stopped",
           {{"host", settings.id}, {"cut_requests", report.cut_request_ids}});
  return report.is_idle ? kExitOk : kExitCutOff;
}

int Run() {
  if (FLAGS_settings.empty()) {
    std::cerr << "bulrushd: --settings=FILE is required\n";
    return kExitUsage;
  }
  const result<std::string> text =
      ReadTextFile(FLAGS_settings, kMaxSettingsBytes);
  if (!IsOk(text)) {
    std::cerr << "bulrushd: " << ErrorOf(text).message << "\n";
    return kExitUsage;
  }
  const std::variant<daemon_settings, line_errors> parsed =
      ParseDaemonSettings(ValueOf(text));
  if (const line_errors* const errors = std::get_if<line_errors>(&parsed)) {
    std::cerr << FormatLineErrors(FLAGS_settings, *errors);
    return kExitUsage;
  }
  const daemon_settings& settings = std::get<daemon_settings>(parsed);
  if (FLAGS_check_config) {
    std::cout << FLAGS_settings << ": ok\n";
    return kExitOk;
  }
  LimitArenas();
  const sigset_t signals = BlockStopSignals();
  ConfigureLogging(settings.minimum_log_level);
  return RunDaemon(settings, signals);
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs one host of the fleet\n\n"
      "  bulrushd --settings=FILE [--check_config]\n\n"
      "SIGTERM or SIGINT stops it gracefully; a second one skips the rest of\n"
      "leaving_grace_ms. Exit codes: 0 every request was answered, 1 requests\n"
      "were cut off, 2 wrong usage or faulty settings, 3 an address is in "
      "use.");
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  if (argc > 1) {
    std::cerr << "bulrushd: unexpected argument \"" << argv[1] << "\"\n";
    return bulrushshore::kExitUsage;
  }
  return bulrushshore::Run();
}

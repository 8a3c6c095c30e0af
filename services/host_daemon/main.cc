// bulrushd: the host daemon.
//
// Exit codes: 0 stopped gracefully with every request answered, 1 requests were
// cut off at the shutdown limit or by a second signal, 2 wrong usage or faulty
// settings, 3 an address cannot be bound.

#include <malloc.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <variant>

#include <gflags/gflags.h>

#include "libraries/base/stop_signals.h"
#include "libraries/settings/settings_reader.h"
#include "libraries/telemetry/log.h"
#include "services/host_daemon/daemon_settings.h"
#include "services/host_daemon/host_daemon.h"
#include "services/host_daemon/shutdown_sequence.h"

DEFINE_string(settings, "", "INI file with the settings of this host");
DEFINE_bool(check_config, false, "check the settings and exit");

namespace bulrushshore {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitCutOff = 1;
constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

// Each arena of the allocator keeps the memory of the largest snapshot that was
// built in it. With one arena per thread a host with a full-size configuration
// grew by 12 to 30 MB per change.
void LimitArenas() {
  constexpr int kArenas = 1;
  (void)mallopt(M_ARENA_MAX, kArenas);
}

void ReportCutRequests(const shutdown_report& report) {
  LogEvent(log_level::kWarning, "requests_cut_off",
           {{"count", report.cut_request_ids.size()},
            {"request_ids", report.cut_request_ids},
            {"unread_connections", report.cut_unread_connections}});
  std::cerr << "bulrushd: " << DescribeCutRequests(report) << std::endl;
}

int RunDaemon(const daemon_settings& settings, const stop_signals& signals) {
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
  const shutdown_report report =
      RunShutdown(signals, settings.leaving_grace, daemon);
  if (!report.is_idle) {
    ReportCutRequests(report);
  }
  daemon.HandOver();
  if (report.is_idle) {
    daemon.Stop();
  }
  LogEvent(log_level::kInfo, "daemon_stopped",
           {{"host", settings.id}, {"cut_requests", report.cut_request_ids}});
  if (!report.is_idle) {
    // Stop() waits for a long poll of the store, up to 5 s, and the destructor
    // for the threads of cut requests, up to the timeout of the service.
    std::quick_exit(kExitCutOff);
  }
  return kExitOk;
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
  // Before the first thread starts.
  const stop_signals signals;
  ConfigureLogging(settings.minimum_log_level);
  return RunDaemon(settings, signals);
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs one host of the fleet\n\n"
      "  bulrushd --settings=FILE [--check_config]\n\n"
      "The first SIGTERM or SIGINT makes the host leave the discovery\n"
      "responses, serve late callers for leaving_grace_ms and finish the\n"
      "requests in flight. A second signal, or the end of shutdown_limit_ms,\n"
      "cuts off what still runs and names it on the standard error stream.\n\n"
      "Exit codes: 0 every request was answered, 1 requests were cut off, 2\n"
      "wrong usage or faulty settings, 3 an address is in use.");
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  if (argc > 1) {
    std::cerr << "bulrushd: unexpected argument \"" << argv[1] << "\"\n";
    return bulrushshore::kExitUsage;
  }
  return bulrushshore::Run();
}

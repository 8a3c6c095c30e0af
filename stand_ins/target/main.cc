// stand_in_target: a target for tests and benchmarks.
//
// Exit codes: 0 stopped by SIGTERM or SIGINT, 1 the port or the history file
// cannot be opened, 2 wrong usage, 3 crashed on request.

#include <iostream>
#include <memory>
#include <optional>
#include <thread>

#include <gflags/gflags.h>

#include "libraries/base/listening_port.h"
#include "libraries/base/program_runtime.h"
#include "libraries/base/stop_signals.h"
#include "stand_ins/target/target_service.h"

DEFINE_string(name, "target", "name of the target in responses and history");
DEFINE_int32(port, 0, "port on 127.0.0.1; 0 picks a free one");
DEFINE_int32(slots, 6, "requests that run at the same time");
DEFINE_int32(backlog, 2, "requests that wait for a slot before shedding");
DEFINE_int32(max_connections, 500, "connections served at the same time");
DEFINE_uint64(seed, 1, "seed of work times and faults");
DEFINE_string(work,
              "default:5:0.5",
              "log-normal work times as KIND:MEDIAN_MS:SIGMA,...");
DEFINE_int32(cold_start_ms, 0, "time after the start with slow work");
DEFINE_double(cold_start_factor, 5.0, "factor on work times while cold");
DEFINE_int32(health_lag_ms, 0, "age of what GET /health reports");
DEFINE_int32(load_lag_ms, 0, "age of what GET /load and X-Load report");
DEFINE_string(history, "", "file for one JSON line per start and end of work");

namespace bulrushshore {
namespace {

constexpr int kExitUnavailable = 1;
constexpr int kExitUsage = 2;

int Serve(target_service& service, const stop_signals& signals) {
  const std::optional<int> port = service.server().Bind(FLAGS_port);
  if (!port) {
    std::cerr << "cannot listen on port " << FLAGS_port << "\n";
    return kExitUnavailable;
  }
  std::cout << "listening 127.0.0.1:" << *port << std::endl;
  std::thread server_thread(
      [&service] { service.server().listen_after_bind(); });
  signals.Wait();
  service.Stop();
  server_thread.join();
  service.RecordExit();
  return 0;
}

int Main() {
  // Before the first thread starts.
  const stop_signals signals;
  const result<work_distributions> distributions =
      ParseWorkDistributions(FLAGS_work);
  if (!IsOk(distributions) || !IsListeningPort(FLAGS_port) || FLAGS_slots < 1 ||
      FLAGS_backlog < 0) {
    std::cerr << "wrong value of --work, --port, --slots or --backlog\n";
    return kExitUsage;
  }
  result<std::unique_ptr<json_line_file>> history =
      json_line_file::OpenIfNamed(FLAGS_history);
  if (!IsOk(history)) {
    std::cerr << ErrorOf(history).message << "\n";
    return kExitUnavailable;
  }
  const program_runtime runtime;
  target_options options;
  options.name = FLAGS_name;
  options.slots = static_cast<std::size_t>(FLAGS_slots);
  options.backlog = static_cast<std::size_t>(FLAGS_backlog);
  options.max_connections = static_cast<std::size_t>(FLAGS_max_connections);
  options.seed = FLAGS_seed;
  options.distributions = ValueOf(distributions);
  options.cold_start = std::chrono::milliseconds(FLAGS_cold_start_ms);
  options.cold_start_factor = FLAGS_cold_start_factor;
  options.health_lag = std::chrono::milliseconds(FLAGS_health_lag_ms);
  options.load_lag = std::chrono::milliseconds(FLAGS_load_lag_ms);
  target_service service(options, runtime.time(),
                         TakeValue(std::move(history)));
  return Serve(service, signals);
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::SetUsageMessage("Runs a stand-in target.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bulrushshore::Main();
}

#include <cstdint>
#include <iostream>

#include <gflags/gflags.h>

#include "libraries/base/listening_port.h"
#include "libraries/base/stop_signals.h"
#include "stand_ins/object_store/store_server.h"

DEFINE_string(ip, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "TCP port to listen on; 0 picks a free one");
DEFINE_int32(threads, 256, "connections served at the same time");

namespace bulrushshore {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

int Run() {
  if (!IsListeningPort(FLAGS_port) || FLAGS_threads < 1) {
    std::cerr << "stand_in_store: invalid --port or --threads\n";
    return kExitUsage;
  }
  // Before the first thread starts.
  const stop_signals signals;
  store_server server({FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port),
                       static_cast<std::size_t>(FLAGS_threads)});
  const result<std::uint16_t> port = server.Start();
  if (!IsOk(port)) {
    std::cerr << "stand_in_store: " << ErrorOf(port).message << "\n";
    return kExitCannotListen;
  }
  std::cout << "listening " << FLAGS_ip << ":" << ValueOf(port) << std::endl;
  signals.Wait();
  server.Stop();
  return kExitSuccess;
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::SetUsageMessage(
      "stands in for the platform's object store, in memory\n\n"
      "  stand_in_store [--ip=IP] [--port=PORT] [--threads=N]\n\n"
      "Prints \"listening IP:PORT\" once it listens, and exits 0 on SIGTERM.\n"
      "Exit codes: 0 stopped by a signal, 2 wrong usage, 3 cannot listen.");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  // Left to itself, gflags ends --help with exit code 1.
  if (gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true") {
    std::cout << gflags::ProgramUsage() << "\n";
    return 0;
  }
  gflags::HandleCommandLineHelpFlags();
  return bulrushshore::Run();
}

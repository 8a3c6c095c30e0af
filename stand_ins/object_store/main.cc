#include <csignal>
#include <cstdint>
#include <iostream>

#include <gflags/gflags.h>

#include "stand_ins/object_store/store_server.h"

DEFINE_string(ip, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "TCP port to listen on; 0 picks a free one");
DEFINE_int32(threads, 256, "connections served at the same time");

namespace bulrushshore {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitUsage = 2;
constexpr int kExitCannotListen = 3;

// Blocks SIGTERM and SIGINT in this thread and all that it starts.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int Run() {
  if (FLAGS_port < 0 || FLAGS_port > UINT16_MAX || FLAGS_threads < 1) {
    std::cerr << "stand_in_store: invalid --port or --threads\n";
    return kExitUsage;
  }
  const sigset_t signals = BlockStopSignals();
  store_server server({FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port),
                       static_cast<std::size_t>(FLAGS_threads)});
  const result<std::uint16_t> port = server.Start();
  if (!IsOk(port)) {
    std::cerr << "stand_in_store: " << ErrorOf(port).message << "\n";
    return kExitCannotListen;
  }
  std::cout << "listening " << FLAGS_ip << ":" << ValueOf(port) << std::endl;
  int signal_number = 0;
  sigwait(&signals, &signal_number);
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

// stand_in_link: a TCP relay whose directions can be cut, for tests.
//
// Exit codes: 0 stopped by SIGTERM or SIGINT, 1 a port cannot be opened,
// 2 wrong usage.

#include <csignal>
#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

#include <gflags/gflags.h>
#include <httplib.h>

#include "libraries/base/endpoint.h"
#include "stand_ins/link/link_relay.h"

DEFINE_string(to, "", "server behind the link as IP:PORT");
DEFINE_int32(port, 0, "port on 127.0.0.1; 0 picks a free one");

namespace bulrushshore {
namespace {

constexpr int kExitUnavailable = 1;
constexpr int kExitUsage = 2;
constexpr int kBadRequest = 400;

// POST /_admin/mode?mode=pass|cut-to-server|cut-to-client|silent
void AddAdminEndpoint(httplib::Server& admin, link_relay& relay) {
  admin.Post("/_admin/mode", [&relay](const httplib::Request& request,
                                      httplib::Response& response) {
    const std::optional<link_mode> mode =
        ParseLinkMode(request.get_param_value("mode"));
    if (!mode) {
      response.status = kBadRequest;
      return;
    }
    relay.SetMode(*mode);
  });
}

int Main() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Blocked before any thread starts, so that only sigwait() takes them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const result<endpoint> server = ParseEndpoint(FLAGS_to);
  if (!IsOk(server) || FLAGS_port < 0 || FLAGS_port > UINT16_MAX) {
    std::cerr << "wrong value of --to or --port\n";
    return kExitUsage;
  }
  link_relay relay(ValueOf(server));
  const result<std::uint16_t> port =
      relay.Start(static_cast<std::uint16_t>(FLAGS_port));
  httplib::Server admin;
  AddAdminEndpoint(admin, relay);
  const int admin_port = admin.bind_to_any_port("127.0.0.1");
  if (!IsOk(port) || admin_port <= 0) {
    std::cerr << "cannot listen on the ports\n";
    return kExitUnavailable;
  }
  std::thread admin_thread([&admin] { admin.listen_after_bind(); });
  std::cout << "listening 127.0.0.1:" << ValueOf(port) << "\n"
            << "admin 127.0.0.1:" << admin_port << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  while (!admin.is_running()) {
    std::this_thread::yield();
  }
  admin.stop();
  admin_thread.join();
  relay.Stop();
  return 0;
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::SetUsageMessage(
      "Passes bytes between clients and a server. Prints the address of the "
      "link as \"listening IP:PORT\" and that of POST /_admin/mode as \"admin "
      "IP:PORT\".");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bulrushshore::Main();
}

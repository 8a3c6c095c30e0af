#ifndef SERVICES_HOST_DAEMON_HOST_DAEMON_H_
#define SERVICES_HOST_DAEMON_HOST_DAEMON_H_

#include <memory>

#include "libraries/base/result.h"
#include "libraries/proxy/caller_server.h"
#include "services/host_daemon/daemon_settings.h"

namespace bulrushshore {

// All parts of one host. Not thread safe.
class host_daemon {
 public:
  explicit host_daemon(const daemon_settings& settings);
  ~host_daemon();

  host_daemon(const host_daemon&) = delete;
  host_daemon& operator=(const host_daemon&) = delete;

  // Binds the addresses and starts to serve; kUnavailable if an address is in
  // use. Precondition: called once.
  status Start();

  // Leaves the discovery responses. Callers with a cached one are served.
  void BeginLeaving();

  // Stops accepting, finishes the requests in flight within the settings'
  // limit, and ends all parts. Returns what was cut off.
  shutdown_report Stop();

 private:
  class parts;

  const daemon_settings settings_;
  std::unique_ptr<parts> parts_;
};

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_HOST_DAEMON_H_

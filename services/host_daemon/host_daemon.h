#ifndef SERVICES_HOST_DAEMON_HOST_DAEMON_H_
#define SERVICES_HOST_DAEMON_HOST_DAEMON_H_

#include <memory>

#include "libraries/base/result.h"
#include "libraries/proxy/caller_server.h"
#include "services/host_daemon/daemon_settings.h"
#include "services/host_daemon/shutdown_sequence.h"

namespace bulrushshore {

// All parts of one host. Not thread safe, except for CutOffRequests().
class host_daemon : public stoppable_host {
 public:
  explicit host_daemon(const daemon_settings& settings);
  ~host_daemon() override;

  host_daemon(const host_daemon&) = delete;
  host_daemon& operator=(const host_daemon&) = delete;

  // Binds the addresses and starts to serve; kUnavailable if an address is in
  // use. Precondition: called once.
  status Start();

  void BeginLeaving() override;
  shutdown_report FinishRequests() override;
  void CutOffRequests() override;

  // Hands the keys over and writes the rest of the audit records.
  // Precondition: FinishRequests() has returned.
  void HandOver();

  // Ends all parts but the threads of requests that were cut off, for which
  // the destructor waits. Precondition: HandOver() has returned.
  void Stop();

 private:
  class parts;

  const daemon_settings settings_;
  std::unique_ptr<parts> parts_;
};

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_HOST_DAEMON_H_

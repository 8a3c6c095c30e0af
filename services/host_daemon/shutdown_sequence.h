#ifndef SERVICES_HOST_DAEMON_SHUTDOWN_SEQUENCE_H_
#define SERVICES_HOST_DAEMON_SHUTDOWN_SEQUENCE_H_

#include <chrono>
#include <string>

#include "libraries/base/stop_signals.h"
#include "libraries/proxy/caller_server.h"

namespace bulrushshore {

// A running host, as far as its shutdown is concerned.
class stoppable_host {
 public:
  virtual ~stoppable_host() = default;

  // Leaves the discovery responses. Callers with a cached one are served.
  virtual void BeginLeaving() = 0;

  // Stops accepting and finishes the requests in flight within the host's
  // limit; returns what was cut off.
  virtual shutdown_report FinishRequests() = 0;

  // Makes FinishRequests() cut off at once what still runs, whether it was
  // called before or is called later. Thread safe.
  virtual void CutOffRequests() = 0;
};

// Waits for a stop signal and takes `host` through its shutdown. The first
// signal starts `grace`, in which late callers are served, and then the time
// for the requests in flight. A second signal, at any moment of these two,
// cuts off what still runs. Blocks. Precondition: nobody else waits for
// `signals`.
shutdown_report RunShutdown(const stop_signals& signals,
                            std::chrono::milliseconds grace,
                            stoppable_host& host);

// Returns one line that names the requests that were cut off, without a line
// end; an empty string if there are none. Thread safe.
std::string DescribeCutRequests(const shutdown_report& report);

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_SHUTDOWN_SEQUENCE_H_

#ifndef SERVICES_EDGE_DAEMON_LEAVE_SCHEDULE_H_
#define SERVICES_EDGE_DAEMON_LEAVE_SCHEDULE_H_

#include <cstddef>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Times of a graceful shutdown.
struct leave_options {
  // Callers may use an old list of hosts for this long after the host was
  // removed from it.
  duration caller_list_lifetime = std::chrono::milliseconds(2800);
  // The process is killed this long after it was asked to shut down.
  duration grace = std::chrono::seconds(6);
  // The last responses are sent at least this long before the process is
  // killed.
  duration margin = std::chrono::milliseconds(300);
};

enum class leave_phase {
  // Requests are served, and callers are told to use other hosts.
  kServing,
  // New requests are refused; requests in flight are completed.
  kRefusing,
  // The process may exit.
  kEnded,
};

// Returns the phase of a host that was asked to shut down `elapsed` ago and has
// `requests_in_flight` requests whose response has not arrived at its caller.
// Thread safe.
leave_phase LeavePhaseAt(duration elapsed,
                         std::size_t requests_in_flight,
                         const leave_options& options);

}  // namespace bulrushshore

#endif  // SERVICES_EDGE_DAEMON_LEAVE_SCHEDULE_H_

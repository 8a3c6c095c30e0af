#ifndef SERVICES_EDGE_DAEMON_LEAVE_SCHEDULE_H_
#define SERVICES_EDGE_DAEMON_LEAVE_SCHEDULE_H_

#include <cstddef>

#include "libraries/base/clock.h"

namespace bulrushshore {

struct leave_options {
  // Callers may use their list of hosts for this long after the host left it.
  duration caller_memory = std::chrono::milliseconds(2800);
  // The process is killed this long after it was asked to end.
  duration grace = std::chrono::seconds(6);
  // Distance of the last answers to that end.
  duration margin = std::chrono::milliseconds(300);
};

enum class leave_phase {
  // Requests are served, and callers are told to use other hosts.
  kServing,
  // Requests that arrive are refused; those in progress go on.
  kRefusing,
  kEnded,
};

// Returns what a host does that was asked to end `elapsed` ago and has not
// answered `unanswered` requests. Thread safe.
leave_phase PhaseOfLeaving(duration elapsed,
                           std::size_t unanswered,
                           const leave_options& options);

}  // namespace bulrushshore

#endif  // SERVICES_EDGE_DAEMON_LEAVE_SCHEDULE_H_

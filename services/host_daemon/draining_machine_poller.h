#ifndef SERVICES_HOST_DAEMON_DRAINING_MACHINE_POLLER_H_
#define SERVICES_HOST_DAEMON_DRAINING_MACHINE_POLLER_H_

#include <chrono>
#include <functional>
#include <set>
#include <string>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include "libraries/store/machine_list.h"

namespace bulrushshore {

// Reads the platform's list of machines at a fixed interval and reports the
// addresses of those that are leaving. While the list cannot be read, the last
// report stays in force. Thread safe.
class draining_machine_poller {
 public:
  using listener = std::function<void(std::set<std::string> leaving_ips)>;

  // Preconditions: `machines` outlives this object; `report` is thread safe.
  draining_machine_poller(caf::actor_system& system,
                          machine_list& machines,
                          std::chrono::milliseconds interval,
                          listener report);
  // Waits for the call under way.
  ~draining_machine_poller();

  draining_machine_poller(const draining_machine_poller&) = delete;
  draining_machine_poller& operator=(const draining_machine_poller&) = delete;

 private:
  caf::actor_system& system_;
  caf::actor worker_;
};

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_DRAINING_MACHINE_POLLER_H_

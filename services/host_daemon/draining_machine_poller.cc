#include "services/host_daemon/draining_machine_poller.h"

#include <utility>
#include <vector>

#include <caf/all.hpp>

namespace bulrushshore {
namespace {

using poll_atom = caf::atom_constant<caf::atom("pollmach")>;

void PollOnce(machine_list& machines,
              const draining_machine_poller::listener& report) {
  const result<std::vector<machine>> listed = machines.Machines();
  if (!IsOk(listed)) {
    return;
  }
  std::set<std::string> leaving;
  for (const machine& entry : ValueOf(listed)) {
    if (entry.state == machine_state::kLeaving) {
      leaving.insert(entry.ip);
    }
  }
  report(std::move(leaving));
}

caf::behavior PollWorker(caf::event_based_actor* self,
                         machine_list* machines,
                         std::chrono::milliseconds interval,
                         const draining_machine_poller::listener& report) {
  self->delayed_send(self, interval, poll_atom::value);
  return {[self, machines, interval, report](poll_atom) {
    PollOnce(*machines, report);
    self->delayed_send(self, interval, poll_atom::value);
  }};
}

}  // namespace

draining_machine_poller::draining_machine_poller(
    caf::actor_system& system,
    machine_list& machines,
    std::chrono::milliseconds interval,
    listener report)
    : system_(system),
      worker_(system.spawn<caf::detached>(PollWorker,
                                          &machines,
                                          interval,
                                          std::move(report))) {}

draining_machine_poller::~draining_machine_poller() {
  caf::scoped_actor self(system_);
  self->send_exit(worker_, caf::exit_reason::user_shutdown);
  self->wait_for(worker_);
}

}  // namespace bulrushshore

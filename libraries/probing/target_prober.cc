#include "libraries/probing/target_prober.h"

#include <memory>
#include <utility>

#include <caf/all.hpp>

namespace bulrushshore {
namespace {

using round_atom = caf::atom_constant<caf::atom("proberound")>;

struct worker_settings {
  probe_client& client;
  std::chrono::milliseconds interval;
  std::size_t index;
  std::size_t count;
  target_prober::target_source targets;
  target_prober::outcome_listener listener;
};

void ProbeShare(const worker_settings& settings) {
  const std::vector<probed_target> targets = settings.targets();
  for (std::size_t index = settings.index; index < targets.size();
       index += settings.count) {
    settings.listener(targets[index],
                      settings.client.Probe(targets[index].address));
  }
}

caf::behavior ProbeWorker(caf::event_based_actor* self,
                          const std::shared_ptr<worker_settings>& settings) {
  // Spreads the workers over the interval, so that probes do not come in
  // bursts.
  self->delayed_send(self,
                     settings->interval * static_cast<int>(settings->index) /
                         static_cast<int>(settings->count),
                     round_atom::value);
  return {[self, settings](round_atom) {
    ProbeShare(*settings);
    self->delayed_send(self, settings->interval, round_atom::value);
  }};
}

}  // namespace

target_prober::target_prober(caf::actor_system& system,
                             probe_client& client,
                             const prober_options& options,
                             target_source targets,
                             outcome_listener listener)
    : system_(system) {
  for (std::size_t index = 0; index < options.workers; ++index) {
    const std::shared_ptr<worker_settings> settings =
        std::make_shared<worker_settings>(
            worker_settings{client, options.interval, index, options.workers,
                            targets, listener});
    workers_.push_back(system.spawn<caf::detached>(ProbeWorker, settings));
  }
}

target_prober::~target_prober() {
  caf::scoped_actor self(system_);
  for (const caf::actor& worker : workers_) {
    self->send_exit(worker, caf::exit_reason::user_shutdown);
    self->wait_for(worker);
  }
}

}  // namespace bulrushshore

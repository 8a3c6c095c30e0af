#ifndef LIBRARIES_PROBING_TARGET_PROBER_H_
#define LIBRARIES_PROBING_TARGET_PROBER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include "libraries/base/endpoint.h"
#include "libraries/probing/probe_client.h"

namespace bulrushshore {

struct probed_target {
  std::string service;
  std::string name;
  endpoint address;
};

struct prober_options {
  std::chrono::milliseconds interval{2'000};
  // Probes that run at the same time; each worker holds a thread.
  std::size_t workers = 4;
};

// Probes targets in rounds. Each worker is an actor with a thread of its own,
// since a probe blocks, and takes every n-th target. Thread safe.
class target_prober {
 public:
  // Returns the targets to probe in the next round. Called from the workers'
  // threads.
  using target_source = std::function<std::vector<probed_target>()>;
  // Receives each outcome. Called from the workers' threads.
  using outcome_listener =
      std::function<void(const probed_target&, const probe_outcome&)>;

  // Preconditions: `client` outlives this object; the functions are thread
  // safe.
  target_prober(caf::actor_system& system,
                probe_client& client,
                const prober_options& options,
                target_source targets,
                outcome_listener listener);
  // Ends the rounds and waits for the probes under way.
  ~target_prober();

  target_prober(const target_prober&) = delete;
  target_prober& operator=(const target_prober&) = delete;

 private:
  std::vector<caf::actor> workers_;
  caf::actor_system& system_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROBING_TARGET_PROBER_H_

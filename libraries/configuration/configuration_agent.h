#ifndef LIBRARIES_CONFIGURATION_CONFIGURATION_AGENT_H_
#define LIBRARIES_CONFIGURATION_CONFIGURATION_AGENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include "libraries/base/clock.h"
#include "libraries/base/published.h"
#include "libraries/catalog/types.h"
#include "libraries/configuration/blocking_executor.h"
#include "libraries/membership/membership_agent.h"
#include "libraries/peer_protocol/peer_messenger.h"
#include "libraries/store/object_store.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

struct configuration_options {
  // Fleets up to this size watch the store with every host.
  std::size_t watch_all_limit = 64;
  std::size_t watchers_per_zone = 3;
  // Length of one waiting watch. Bounds the time that a shutdown waits.
  std::chrono::milliseconds watch_time{5'000};
  // A host that hears of no version from any peer for this long watches the
  // store itself.
  duration peer_silence_limit = std::chrono::seconds(2);
  duration tick_interval = std::chrono::milliseconds(500);
  // Wait after a first failed store call; doubles up to the maximum. The
  // longest wait and the gossip after it must stay below the 5 s in which a
  // note is to be in force; 64 watchers that wait 1 to 2 s make at most 64
  // calls/s.
  duration minimum_store_backoff = std::chrono::seconds(1);
  duration maximum_store_backoff = std::chrono::seconds(2);
};

// Returns true if the host `self_id` is one of those that watch the store.
// Thread safe.
bool IsStoreWatcher(const std::string& self_id,
                    const std::vector<host_record>& hosts,
                    const configuration_options& options);

// Keeps the newest configuration on this host, read from the store or from
// peers, in a CAF actor. Never goes back to a lower version. Thread safe.
class configuration_agent : public snapshot_source {
 public:
  // Called on the actor with each new configuration, after Current() gives it.
  using snapshot_listener =
      std::function<void(std::shared_ptr<const catalog_snapshot>)>;

  struct dependencies {
    caf::actor_system& system;
    std::shared_ptr<peer_messenger> messenger;
    std::shared_ptr<const published<membership_snapshot>> membership;
    object_store& store;
    std::shared_ptr<blocking_executor> executor;
    metric_registry& metrics;
    audit_log& audit;
  };

  // Registers the handler of parts_request with the messenger.
  // Preconditions: the messenger is not started yet; the referenced objects
  // outlive the actor system.
  configuration_agent(const dependencies& dependencies,
                      configuration_options options,
                      std::uint64_t random_seed,
                      snapshot_listener listener);
  ~configuration_agent() override;

  configuration_agent(const configuration_agent&) = delete;
  configuration_agent& operator=(const configuration_agent&) = delete;

  // Starts to look for configurations. Precondition: the messenger is started.
  void Start();

  // Ends the search. The last snapshot stays readable.
  void Stop();

  // Returns the actor, for owners that wait for its end.
  const caf::actor& actor() const { return actor_; }

  // Notes the version that the host at `peer` has in force.
  void OnPeerVersion(const endpoint& peer, std::uint64_t version);

  std::shared_ptr<const catalog_snapshot> Current() const override;

 private:
  std::shared_ptr<published<catalog_snapshot>> published_;
  caf::actor actor_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CONFIGURATION_CONFIGURATION_AGENT_H_

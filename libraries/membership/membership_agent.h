#ifndef LIBRARIES_MEMBERSHIP_MEMBERSHIP_AGENT_H_
#define LIBRARIES_MEMBERSHIP_MEMBERSHIP_AGENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include "libraries/base/published.h"
#include "libraries/membership/host_directory.h"
#include "libraries/membership/membership_rounds.h"
#include "libraries/peer_protocol/peer_messenger.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

// An immutable copy of the membership view.
struct membership_snapshot {
  host_record self;
  // Ordered by id.
  std::vector<host_record> hosts;
};

// Returns the host that answers for keys of `incarnation`, or null. Valid as
// long as `hosts`. Thread safe.
const host_record* FindOwner(const std::vector<host_record>& hosts,
                             std::string_view incarnation);

// Runs the gossip rounds in a CAF actor, which owns the view, and publishes
// copies of it. Thread safe.
class membership_agent : public host_directory {
 public:
  // Called on the actor with the catalog version that a peer reported.
  using version_listener =
      std::function<void(const endpoint& peer, std::uint64_t version)>;
  // Called on the actor after this host's own record has changed.
  using self_listener = std::function<void(const host_record& self)>;

  struct dependencies {
    caf::actor_system& system;
    std::shared_ptr<peer_messenger> messenger;
    metric_registry& metrics;
    audit_log& audit;
  };

  struct listeners {
    version_listener on_version;
    self_listener on_self_change;
  };

  // Registers the request handlers of membership with the messenger.
  // Preconditions: the messenger is not started yet; the referenced objects
  // outlive the actor system.
  membership_agent(const dependencies& dependencies,
                   membership_options options,
                   host_record self,
                   std::uint64_t random_seed,
                   listeners listeners = {});
  ~membership_agent() override;

  membership_agent(const membership_agent&) = delete;
  membership_agent& operator=(const membership_agent&) = delete;

  // Starts the rounds. Precondition: the messenger is started.
  void Start();

  // Ends the rounds. The published view stays readable.
  void Stop();

  // Returns the actor, for owners that wait for its end.
  const caf::actor& actor() const { return actor_; }

  // Tells the fleet that this host takes no new callers.
  void BeginLeaving();

  // Tells the fleet whether this host suspects itself to be at fault.
  void SetSelfSuspect(bool is_self_suspect);

  // Tells the fleet which catalog version this host has in force.
  void SetCatalogVersion(std::uint64_t version);

  // Tells the fleet that this host answers for keys of `incarnations`, and
  // calls `done` on the actor once FindKeyOwner() says so here.
  void Inherit(std::vector<std::string> incarnations,
               std::function<void()> done);

  // Adds a peer address that is asked while few hosts are known.
  void AddSeed(const endpoint& seed);

  host_record Self() const override;
  std::vector<host_record> Hosts() const override;
  std::optional<host_record> FindKeyOwner(
      std::string_view incarnation) const override;

  // Returns the newest copy of the view; never null.
  std::shared_ptr<const membership_snapshot> Snapshot() const;

  // Returns where copies are published, for readers that may outlive this
  // object.
  std::shared_ptr<const published<membership_snapshot>> publisher() const {
    return published_;
  }

 private:
  std::shared_ptr<published<membership_snapshot>> published_;
  caf::actor actor_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_MEMBERSHIP_AGENT_H_

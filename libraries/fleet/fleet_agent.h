#ifndef LIBRARIES_FLEET_FLEET_AGENT_H_
#define LIBRARIES_FLEET_FLEET_AGENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <caf/actor_system.hpp>

#include "libraries/base/result.h"
#include "libraries/catalog/types.h"
#include "libraries/configuration/blocking_executor.h"
#include "libraries/configuration/configuration_agent.h"
#include "libraries/membership/discovery_response.h"
#include "libraries/membership/host_directory.h"
#include "libraries/membership/key_handover.h"
#include "libraries/membership/membership_rounds.h"
#include "libraries/peer_protocol/handshake.h"
#include "libraries/peer_protocol/messages.h"
#include "libraries/peer_protocol/peer_transport.h"
#include "libraries/store/object_store.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

struct fleet_options {
  // 1 to 64 characters of [a-z0-9-], as the zone.
  std::string id;
  std::string zone;
  endpoint caller_address;
  endpoint peer_address;
  // Random number drawn at process start, 16 hexadecimal digits.
  std::string incarnation;
  std::vector<endpoint> seeds;
  peer_keys keys;
  membership_options membership;
  configuration_options configuration;
  discovery_options discovery;
  // Called on an actor thread with each new configuration, after snapshots()
  // gives it; must not block. May be empty.
  configuration_agent::snapshot_listener on_snapshot;
  // Takes the parts of a key table that another host hands over; this host
  // answers for its keys once it returns without an error. Called on a thread
  // that may block. If it is empty, hand-overs are refused.
  std::function<status(const std::vector<std::string>& parts)> import_keys;
  // Called on a transport thread with what another host has lost; must not
  // block. May be empty.
  std::function<void(const crash_report_message& report)> on_crash_report;
  // Whether Stop() waits until the actors have ended. Only tests whose own
  // thread runs the actors turn it off.
  bool waits_for_actors = true;
};

// Everything that this host shares with the others: membership, configuration,
// service discovery and the hand-over of keys. Thread safe.
class fleet_agent {
 public:
  struct dependencies {
    caf::actor_system& system;
    object_store& store;
    metric_registry& metrics;
    audit_log& audit;
  };

  // Replacements for tests; empty members stand for the real ones.
  struct replacements {
    std::unique_ptr<peer_transport> transport;
    std::shared_ptr<blocking_executor> store_executor;
    std::shared_ptr<blocking_executor> import_executor;
  };

  // Preconditions: the referenced objects outlive this one, and the actors as
  // well if Stop() does not wait for them; `options.id` and `options.zone` are
  // valid.
  fleet_agent(const dependencies& dependencies, fleet_options options);
  fleet_agent(const dependencies& dependencies,
              fleet_options options,
              replacements replacements);
  // Stops.
  ~fleet_agent();

  fleet_agent(const fleet_agent&) = delete;
  fleet_agent& operator=(const fleet_agent&) = delete;

  // Starts to listen for peers and to look for the configuration. kUnavailable
  // if the peer address is in use. Precondition: not started before.
  status Start();

  // Leaves the network. What was published stays readable. Blocks until a
  // waiting watch of the store has ended. Precondition: not called from an
  // actor or a callback of this object.
  void Stop();

  const host_directory& directory() const;
  const snapshot_source& snapshots() const;

  // Returns the JSON text of a discovery response; kNotFound for a service that
  // the configuration in force does not have.
  result<std::string> Discover(const discovery_query& query) const;

  // Tells the fleet that this host takes no new callers.
  void BeginLeaving();

  // Tells the fleet whether this host suspects itself to be at fault.
  void SetSelfSuspect(bool is_self_suspect);

  // Tells the hosts of ReceiversOfCrashReport() about `report`, and calls
  // `done` once, on any thread, when they know it or cannot be reached. Without
  // effect beyond the bound of crash_report_budget.
  void ReportCrash(const crash_report_message& report,
                   std::function<void()> done);

  // Hands the parts of this host's sealed key table over to one live host,
  // chosen once, preferably in the same zone. `done` is called once, on any
  // thread: see handover_done, and kNotFound if no other host is live.
  void HandOverKeys(const std::vector<std::string>& parts, handover_done done);

 private:
  struct core;

  std::shared_ptr<core> core_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_FLEET_FLEET_AGENT_H_

#ifndef TESTS_MEMBERSHIP_FLEET_FIXTURE_H_
#define TESTS_MEMBERSHIP_FLEET_FIXTURE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scheduler/test_coordinator.hpp>

#include "libraries/base/clock.h"
#include "libraries/membership/membership_agent.h"
#include "libraries/peer_protocol/peer_messenger.h"
#include "stand_ins/peer_network/fake_peer_transport.h"

namespace bulrushshore {

// Returns the record of the process `incarnation` on host number `index`; the
// hosts take turns in the zones a, b and c.
host_record TestRecord(std::size_t index, std::uint64_t incarnation);

endpoint TestPeerAddress(std::size_t index);

// A fleet of membership agents on a fake network and a paused clock.
class test_fleet {
 public:
  struct host {
    std::unique_ptr<fake_peer_transport> transport;
    std::shared_ptr<peer_messenger> messenger;
    std::unique_ptr<metric_registry> metrics;
    std::unique_ptr<membership_agent> agent;
  };

  test_fleet();
  ~test_fleet();

  // Starts `count` hosts that know host 0 as their seed.
  void Start(std::size_t count, membership_options options = {});

  // Starts a new process on host `index`, with a new incarnation.
  void StartHost(std::size_t index, membership_options options = {});

  // Ends the process on host `index` without notice.
  void StopHost(std::size_t index);

  // Advances time in steps of one tenth of a second, delivering all frames
  // after each. `until` is checked after each step; returns the time passed
  // when it held, or `limit`.
  duration Run(
      duration limit,
      const std::function<bool()>& until = [] { return false; });

  // Lets time pass for host `index` only as far as its frames are concerned:
  // the process neither sends nor receives.
  void Pause(std::size_t index);
  void Resume(std::size_t index);

  // Returns the state that host `observer` holds for host `subject`; lost if it
  // does not know it.
  host_state StateOf(std::size_t observer, std::size_t subject) const;

  // Returns true if all running hosts see each other live and nothing else.
  bool IsConverged() const;

  std::size_t size() const { return hosts_.size(); }
  host& at(std::size_t index) { return *hosts_[index]; }
  const host& at(std::size_t index) const { return *hosts_[index]; }
  bool IsRunning(std::size_t index) const { return hosts_[index] != nullptr; }
  fake_peer_network& network() { return network_; }
  caf::actor_system& system() { return *system_; }
  audit_log& audit() { return audit_; }

 private:
  void Settle();

  fake_peer_network network_;
  audit_log audit_{10'000};
  // Registries outlive the actors that count in them.
  std::vector<std::unique_ptr<metric_registry>> registries_;
  caf::actor_system_config config_;
  std::unique_ptr<caf::actor_system> system_;
  std::unique_ptr<runtime_clock> clock_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::uint64_t next_incarnation_ = 1;
};

}  // namespace bulrushshore

#endif  // TESTS_MEMBERSHIP_FLEET_FIXTURE_H_

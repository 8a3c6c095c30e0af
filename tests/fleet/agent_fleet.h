#ifndef TESTS_FLEET_AGENT_FLEET_H_
#define TESTS_FLEET_AGENT_FLEET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scheduler/test_coordinator.hpp>

#include "libraries/fleet/fleet_agent.h"
#include "libraries/store/in_memory_object_store.h"
#include "stand_ins/peer_network/fake_peer_transport.h"

namespace bulrushshore {

// Runs the submitted tasks when the test says so, on the test's thread.
class queued_executor : public blocking_executor {
 public:
  void Submit(std::function<void()> task) override {
    tasks_.push_back(std::move(task));
  }

  void Stop() override { tasks_.clear(); }

  // Runs the tasks that wait now, not those that they submit.
  void RunWaiting();

 private:
  std::deque<std::function<void()>> tasks_;
};

// A fleet of agents on a fake network, a paused clock and a store in memory.
class agent_fleet {
 public:
  struct host {
    std::unique_ptr<metric_registry> metrics =
        std::make_unique<metric_registry>();
    std::shared_ptr<queued_executor> executor =
        std::make_shared<queued_executor>();
    std::unique_ptr<fleet_agent> agent;
    // Parts of the key tables that were handed over to this host.
    std::vector<std::vector<std::string>> imported;
    // Versions that the snapshot listener was given.
    std::vector<std::uint64_t> versions;
    // What other hosts reported.
    std::vector<crash_report_message> crash_reports;
    bool refuses_imports = false;
    // The calls to the store of this host wait.
    bool is_store_paused = false;
  };

  agent_fleet();
  ~agent_fleet();

  // Starts a host whose seed is host 0 and whose store is `store`, or the
  // common one.
  void StartHost(std::size_t index,
                 object_store* store = nullptr,
                 configuration_options configuration = {});

  // Ends the process on host `index`.
  void StopHost(std::size_t index);

  // Advances time in steps of one tenth of a second. Returns the time passed
  // when `until` held, or `limit`.
  duration Run(
      duration limit,
      const std::function<bool()>& until = [] { return false; });

  // Publishes a note that adds the service `name` to version `base`.
  void Publish(const std::string& name, std::uint64_t base);

  std::uint64_t VersionOf(std::size_t index) const;
  bool AllHaveVersion(std::uint64_t version) const;
  static endpoint PeerAddress(std::size_t index);

  host& at(std::size_t index) { return *hosts_[index]; }
  std::uint64_t CounterOf(std::size_t index, const std::string& name);
  fake_peer_network& network() { return network_; }
  in_memory_object_store& store() { return store_; }
  audit_log& audit() { return audit_; }

 private:
  void Settle();

  in_memory_object_store store_;
  audit_log audit_{1'000};
  fake_peer_network network_;
  // Hosts outlive the actors that count in their registries.
  std::vector<std::unique_ptr<host>> stopped_;
  std::vector<std::unique_ptr<host>> hosts_;
  caf::actor_system_config config_;
  std::unique_ptr<caf::actor_system> system_;
  std::uint64_t next_incarnation_ = 1;
};

}  // namespace bulrushshore

#endif  // TESTS_FLEET_AGENT_FLEET_H_

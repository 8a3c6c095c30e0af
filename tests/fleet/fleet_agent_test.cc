#include "libraries/fleet/fleet_agent.h"

#include <condition_variable>
#include <mutex>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "libraries/base/random_source.h"
#include "libraries/peer_protocol/websocket_peer_transport.h"
#include "libraries/store/catalog_publisher.h"
#include "tests/catalog/catalog_fixtures.h"
#include "tests/fleet/agent_fleet.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kMinute(60);

// Guards against a discovery response that lists a leaving host, or that needs
// the store.
TEST(FleetAgentTest, DiscoveryFollowsMembershipWithoutTheStore) {
  agent_fleet fleet;
  for (std::size_t index = 0; index < 6; ++index) {
    fleet.StartHost(index);
  }
  fleet.Publish("archive", 0);
  fleet.Run(kMinute, [&fleet] { return fleet.AllHaveVersion(1); });
  fleet.Run(std::chrono::seconds(5));
  fleet.store().SetOutage(true);
  fleet.at(4).agent->BeginLeaving();
  fleet.Run(std::chrono::seconds(10));
  const result<std::string> response =
      fleet.at(0).agent->Discover({"archive", "b", "10.0.0.1:1"});
  ASSERT_TRUE(IsOk(response));
  const nlohmann::json hosts =
      nlohmann::json::parse(ValueOf(response))["hosts"];
  EXPECT_EQ(hosts.size(), 5U);
  EXPECT_EQ(hosts[0]["id"], "host-1");
  EXPECT_EQ(ErrorOf(fleet.at(0).agent->Discover({"other", "b", ""})).code,
            error_code::kNotFound);
}

// Guards against a host that finds no peer because its seed is gone.
TEST(FleetAgentTest, HostObjectsServeAsSeeds) {
  agent_fleet fleet;
  for (std::size_t index = 0; index < 4; ++index) {
    fleet.StartHost(index);
  }
  fleet.Run(std::chrono::seconds(10));
  fleet.StopHost(0);
  fleet.StartHost(4);
  EXPECT_LT(fleet.Run(kMinute,
                      [&fleet] {
                        return fleet.at(4).agent->directory().Hosts().size() >=
                               4;
                      }),
            kMinute);
}

// Guards against parts that only work with fakes: real sockets, threads and
// clock. Waits for events, not for time.
TEST(FleetAgentTest, TwoHostsShareAConfigurationOverSockets) {
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t version = 0;
  in_memory_object_store store;
  in_memory_object_store unreachable;
  unreachable.SetOutage(true);
  metric_registry metrics;
  audit_log audit(100);
  caf::actor_system_config config;
  caf::actor_system system{config};
  fleet_options options;
  options.zone = "a";
  options.caller_address = {"127.0.0.1", 1};
  options.keys = {"key of the fleet", {}};
  options.configuration.watch_time = std::chrono::milliseconds(100);
  options.id = "first";
  options.incarnation = FormatHex(1);
  const runtime_clock clock(system.clock());
  // The ports are free ones: these transports only find them.
  std::vector<endpoint> addresses;
  {
    class no_listener : public peer_frame_listener {
      void OnFrame(connection_id, std::string_view, std::string_view) override {
      }
    };
    no_listener ignored;
    websocket_transport_options probe;
    probe.self_id = "probe";
    probe.listen_address = {"127.0.0.1", 0};
    websocket_peer_transport one(probe, clock, metrics);
    websocket_peer_transport two(probe, clock, metrics);
    ASSERT_TRUE(IsOk(one.Start(ignored)));
    ASSERT_TRUE(IsOk(two.Start(ignored)));
    addresses = {one.local_address(), two.local_address()};
  }
  options.peer_address = addresses[0];
  fleet_agent first({system, store, metrics, audit}, options);
  options.id = "second";
  options.incarnation = FormatHex(2);
  options.peer_address = addresses[1];
  options.seeds = {addresses[0]};
  options.on_snapshot =
      [&](const std::shared_ptr<const catalog_snapshot>& snapshot) {
        const std::lock_guard<std::mutex> lock(mutex);
        version = snapshot->version;
        changed.notify_all();
      };
  fleet_agent second({system, unreachable, metrics, audit}, options);
  ASSERT_TRUE(IsOk(first.Start()));
  ASSERT_TRUE(IsOk(second.Start()));
  const publish_outcome outcome = catalog_publisher(store).Publish(
      NoteText("add-archive", 0, ServiceSections("archive")), 0);
  ASSERT_EQ(outcome.result, publish_result::kAccepted);
  {
    std::unique_lock<std::mutex> lock(mutex);
    EXPECT_TRUE(
        changed.wait_for(lock, kMinute, [&version] { return version == 1; }));
  }
  EXPECT_EQ(second.directory().Hosts().size(), 2U);
  first.Stop();
  second.Stop();
}

}  // namespace
}  // namespace bulrushshore

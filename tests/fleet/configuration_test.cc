#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "libraries/store/object_key.h"
#include "tests/fleet/agent_fleet.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kMinute(60);
// Design section 1.2: an accepted note is in force everywhere within 5 s.
constexpr std::chrono::seconds kInForceLimit(5);

class ConfigurationTest : public testing::Test {
 protected:
  void StartHosts(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      fleet_.StartHost(index);
    }
    fleet_.Run(std::chrono::seconds(5));
  }

  duration RunUntilVersion(std::uint64_t version) {
    return fleet_.Run(
        kMinute, [this, version] { return fleet_.AllHaveVersion(version); });
  }

  // Makes the store serve the head that it had before.
  void ServeOldHead() {
    fleet_.store().CorruptValue(kCatalogHeadKey, old_head_);
  }

  void SetStorePaused(bool is_paused) {
    for (std::size_t index = 0; index < 3; ++index) {
      fleet_.at(index).is_store_paused = is_paused;
    }
  }

  void RememberHead() {
    old_head_ = ValueOf(fleet_.store().Get(kCatalogHeadKey)).value;
  }

  agent_fleet fleet_;
  std::string old_head_;
};

// Guards against notes that do not reach all hosts in time.
TEST_F(ConfigurationTest, NoteIsInForceEverywhereInTime) {
  StartHosts(6);
  fleet_.Publish("archive", 0);
  EXPECT_LE(RunUntilVersion(1), kInForceLimit);
  fleet_.Publish("photo", 1);
  EXPECT_LE(RunUntilVersion(2), kInForceLimit);
  EXPECT_EQ(fleet_.at(3).versions, (std::vector<std::uint64_t>{1, 2}));
}

// Guards against hosts that depend on their own access to the store.
TEST_F(ConfigurationTest, HostsWithoutTheStorePullFromPeers) {
  in_memory_object_store unreachable;
  unreachable.SetOutage(true);
  fleet_.StartHost(0);
  for (std::size_t index = 1; index < 6; ++index) {
    fleet_.StartHost(index, &unreachable);
  }
  fleet_.Run(std::chrono::seconds(5));
  fleet_.Publish("archive", 0);
  EXPECT_LE(RunUntilVersion(1), kInForceLimit);
  fleet_.Publish("photo", 1);
  EXPECT_LE(RunUntilVersion(2), kInForceLimit);
}

// Guards against a new host that cannot start while the store is out, or that
// starts with an old version although a peer has a newer one.
TEST_F(ConfigurationTest, ColdStartWithoutTheStoreTakesTheHighestVersion) {
  in_memory_object_store unreachable;
  unreachable.SetOutage(true);
  StartHosts(4);
  fleet_.Publish("archive", 0);
  RunUntilVersion(1);
  fleet_.StartHost(4, &unreachable);
  EXPECT_LT(RunUntilVersion(1), std::chrono::seconds(10));
  EXPECT_EQ(fleet_.at(4).versions, (std::vector<std::uint64_t>{1}));
}

// Guards against a new host that asks only its seed, which is cut off from the
// others and has an old version: the host would go back to it.
TEST_F(ConfigurationTest, ColdStartAsksMoreHostsThanTheSeed) {
  in_memory_object_store unreachable;
  unreachable.SetOutage(true);
  StartHosts(4);
  fleet_.Publish("archive", 0);
  RunUntilVersion(1);
  fleet_.at(0).is_store_paused = true;
  for (std::size_t index = 1; index < 4; ++index) {
    fleet_.network().Cut(agent_fleet::PeerAddress(0),
                         agent_fleet::PeerAddress(index));
    fleet_.network().Cut(agent_fleet::PeerAddress(index),
                         agent_fleet::PeerAddress(0));
  }
  fleet_.Publish("photo", 1);
  fleet_.Run(kMinute, [this] { return fleet_.VersionOf(3) == 2; });
  fleet_.StartHost(4, &unreachable);
  EXPECT_LT(fleet_.Run(kMinute, [this] { return fleet_.VersionOf(4) != 0; }),
            std::chrono::seconds(10));
  EXPECT_EQ(fleet_.VersionOf(4), 2U);
}

// Guards against a new host that takes the highest version of the first hosts
// that it asks, while a later one has a higher version.
TEST_F(ConfigurationTest, ColdStartAsksEveryHostOfALargeFleet) {
  constexpr std::size_t kHosts = 70;
  in_memory_object_store unreachable;
  unreachable.SetOutage(true);
  configuration_options options;
  options.watch_all_limit = kHosts;
  for (std::size_t index = 0; index < kHosts; ++index) {
    fleet_.StartHost(index, nullptr, options);
  }
  fleet_.Publish("archive", 0);
  RunUntilVersion(1);
  fleet_.Run(std::chrono::seconds(20));
  // The last host by name is the only one that hears of the next version.
  for (std::size_t index = 0; index < kHosts; ++index) {
    fleet_.at(index).is_store_paused = true;
  }
  const std::size_t informed = 9;
  for (std::size_t index = 0; index < kHosts; ++index) {
    if (index != informed) {
      fleet_.network().Cut(agent_fleet::PeerAddress(informed),
                           agent_fleet::PeerAddress(index));
    }
  }
  fleet_.Publish("photo", 1);
  fleet_.at(informed).is_store_paused = false;
  fleet_.Run(std::chrono::seconds(1),
             [this, informed] { return fleet_.VersionOf(informed) == 2; });
  ASSERT_EQ(fleet_.VersionOf(informed), 2U);
  fleet_.StartHost(kHosts, &unreachable);
  fleet_.Run(kMinute, [this] { return fleet_.VersionOf(kHosts) != 0; });
  EXPECT_EQ(fleet_.VersionOf(kHosts), 2U);
}

// Guards against an old head of a stale replica, or a late watch event, that
// reverts a host.
TEST_F(ConfigurationTest, StaleStoreRevertsNobody) {
  StartHosts(3);
  fleet_.Publish("archive", 0);
  RunUntilVersion(1);
  RememberHead();
  fleet_.Publish("photo", 1);
  RunUntilVersion(2);
  ServeOldHead();
  fleet_.Run(kMinute);
  EXPECT_TRUE(fleet_.AllHaveVersion(2));
  EXPECT_GT(fleet_.CounterOf(0, "configuration_stale_total"), 0U);
  EXPECT_EQ(fleet_.at(0).versions, (std::vector<std::uint64_t>{1, 2}));
}

// Guards against an answer of the store that arrives after a newer version came
// from a peer.
TEST_F(ConfigurationTest, DelayedStoreAnswerRevertsNobody) {
  StartHosts(3);
  fleet_.Publish("archive", 0);
  RunUntilVersion(1);
  fleet_.at(1).is_store_paused = true;
  fleet_.Publish("photo", 1);
  RunUntilVersion(2);
  fleet_.Publish("case", 2);
  RunUntilVersion(3);
  fleet_.at(1).is_store_paused = false;
  fleet_.Run(std::chrono::seconds(5));
  EXPECT_TRUE(fleet_.AllHaveVersion(3));
  EXPECT_EQ(fleet_.at(1).versions, (std::vector<std::uint64_t>{1, 2, 3}));
}

// Guards against a corrupted part that is put in force or that stops a host
// from taking the next version.
TEST_F(ConfigurationTest, CorruptedPartIsRefusedAndTheLastVersionStays) {
  StartHosts(3);
  fleet_.Publish("archive", 0);
  RunUntilVersion(1);
  SetStorePaused(true);
  fleet_.Publish("photo", 1);
  std::map<std::string, std::string> good;
  const result<std::vector<std::string>> keys =
      fleet_.store().List("catalog/part/", 1'000);
  for (const std::string& key : ValueOf(keys)) {
    good[key] = ValueOf(fleet_.store().Get(key)).value;
    fleet_.store().CorruptValue(key, good[key] + "x");
  }
  SetStorePaused(false);
  fleet_.Run(kMinute);
  EXPECT_TRUE(fleet_.AllHaveVersion(1));
  EXPECT_GT(fleet_.CounterOf(0, "configuration_refused_total"), 0U);
  for (const std::map<std::string, std::string>::value_type& part : good) {
    fleet_.store().CorruptValue(part.first, part.second);
  }
  EXPECT_LT(RunUntilVersion(2), std::chrono::seconds(20));
}

// Guards against 600 hosts that all watch the store, and against a zone where
// nobody does.
TEST_F(ConfigurationTest, FewHostsWatchTheStoreInALargeFleet) {
  std::vector<host_record> hosts;
  for (std::size_t index = 0; index < 600; ++index) {
    host_record record;
    record.id = "host-" + std::to_string(index);
    record.zone = std::string(1, static_cast<char>('a' + index % 5));
    hosts.push_back(record);
  }
  std::map<std::string, int> watchers;
  for (const host_record& host : hosts) {
    watchers[host.zone] += IsStoreWatcher(host.id, hosts, {}) ? 1 : 0;
  }
  EXPECT_EQ(watchers, (std::map<std::string, int>{
                          {"a", 3}, {"b", 3}, {"c", 3}, {"d", 3}, {"e", 3}}));
  hosts.resize(64);
  EXPECT_TRUE(IsStoreWatcher("host-1", hosts, {}));
}

// Guards against hosts that leave the store alone for so long that the first
// note after an outage is late, and against hosts that call it all the time.
TEST_F(ConfigurationTest, StoreIsTriedOftenEnoughInALongOutage) {
  StartHosts(1);
  fleet_.store().SetOutage(true);
  fleet_.Run(kMinute);
  const std::uint64_t before = fleet_.store().call_counts().watch;
  fleet_.Run(kMinute);
  const std::uint64_t calls = fleet_.store().call_counts().watch - before;
  EXPECT_GE(calls, 24U);
  EXPECT_LE(calls, 60U);
  fleet_.store().SetOutage(false);
  fleet_.Publish("archive", 0);
  EXPECT_LE(RunUntilVersion(1), kInForceLimit);
}

// Guards against a host that watches through others while it hears from none.
TEST_F(ConfigurationTest, HostWithoutPeersWatchesTheStoreItself) {
  configuration_options options;
  options.watch_all_limit = 0;
  options.watchers_per_zone = 0;
  for (std::size_t index = 0; index < 3; ++index) {
    fleet_.StartHost(index, nullptr, options);
  }
  fleet_.Publish("archive", 0);
  RunUntilVersion(1);
  fleet_.Run(std::chrono::seconds(5));
  const std::uint64_t watches = fleet_.store().call_counts().watch;
  fleet_.Run(std::chrono::seconds(5));
  EXPECT_EQ(fleet_.store().call_counts().watch, watches);
  fleet_.network().Isolate(agent_fleet::PeerAddress(1));
  fleet_.Run(std::chrono::seconds(3));
  fleet_.Publish("photo", 1);
  EXPECT_LE(fleet_.Run(kMinute, [this] { return fleet_.VersionOf(1) == 2; }),
            kInForceLimit);
}

}  // namespace
}  // namespace bulrushshore

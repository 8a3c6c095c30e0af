#include "libraries/peers/host_registry.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr int kHostsPerZone = 16;

host_entry MakeHost(const std::string& zone, int number) {
  const std::string id = zone + "-" + std::to_string(number);
  const std::string ip =
      "10." + std::to_string(zone[0]) + ".0." + std::to_string(number);
  return {id, zone, {ip, 80}, {ip, 7000}};
}

// The fleets of these tests are built for three serving hosts per zone.
constexpr host_registry_options kThreePerZone{.serving_hosts_per_zone = 3,
                                              .serving_share = 0.125};

class HostRegistryTest : public testing::Test {
 protected:
  HostRegistryTest() {
    for (const char* zone : {"a", "b", "c"}) {
      for (int number = 1; number <= kHostsPerZone; ++number) {
        registry_.Add(MakeHost(zone, number));
      }
    }
  }

  std::set<std::string> ServingIds(const std::string& zone) const {
    std::set<std::string> ids;
    for (const host_entry* host : registry_.ServingHosts()) {
      if (host->zone == zone) {
        ids.insert(host->id);
      }
    }
    return ids;
  }

  // Returns the ids of all hosts except `kept`.
  std::set<std::string> AllBut(const std::set<std::string>& kept) const {
    std::set<std::string> ids;
    for (const host_entry* host : registry_.OtherHosts()) {
      if (!kept.contains(host->id)) {
        ids.insert(host->id);
      }
    }
    return ids;
  }

  // Runs the failure detector for `time` while the hosts in `silent` do not
  // respond. Returns those of them that were marked as lost.
  std::set<std::string> Detect(const std::set<std::string>& silent,
                               seconds time) {
    std::set<std::string> lost;
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      now_ += milliseconds(100);
      registry_.Step(now_);
      for (const host_entry* host : registry_.OtherHosts()) {
        if (silent.contains(host->id)) {
          if (registry_.IsLost(host->id)) {
            lost.insert(host->id);
          }
        } else {
          registry_.OnMessageFrom(host->id, now_);
        }
      }
    }
    return lost;
  }

  seeded_random random_{3};
  host_registry registry_{MakeHost("a", 1), random_, kThreePerZone};
  time_point now_ = kStart;
};

// Guards against hosts that select different serving hosts: each serving host
// would then see too few requests.
TEST_F(HostRegistryTest, AllHostsSendCallersToTheSameFewHosts) {
  host_registry other(MakeHost("b", 7), random_, kThreePerZone);
  for (const char* zone : {"c", "b", "a"}) {
    for (int number = kHostsPerZone; number > 0; --number) {
      other.Add(MakeHost(zone, number));
    }
  }
  EXPECT_EQ(registry_.AddressesFor("a").size(), 3U);
  EXPECT_EQ(registry_.AddressesFor("a"), other.AddressesFor("a"));
  EXPECT_EQ(registry_.zone_count(), 3U);
}

TEST_F(HostRegistryTest, AnotherHostReplacesALostHost) {
  const std::set<std::string> before = ServingIds("a");
  std::string victim = *before.begin();
  if (victim == "a-1") {
    victim = *std::next(before.begin());
  }
  EXPECT_EQ(Detect({victim}, seconds(5)), std::set<std::string>{victim});
  const std::set<std::string> after = ServingIds("a");
  EXPECT_EQ(after.size(), 3U);
  EXPECT_FALSE(after.contains(victim));
  registry_.OnMessageFrom(victim, now_);
  EXPECT_EQ(ServingIds("a"), before);
}

TEST_F(HostRegistryTest, ALossReportIsIgnoredAfterARecentMessage) {
  registry_.OnMessageFrom("a-2", kStart);
  registry_.OnReportedLost("a-2", kStart + milliseconds(100));
  EXPECT_FALSE(registry_.IsLost("a-2"));
  registry_.OnReportedLost("a-2", kStart + seconds(2));
  EXPECT_TRUE(registry_.IsLost("a-2"));
  registry_.OnReportedLost("a-1", kStart + seconds(2));
  EXPECT_FALSE(registry_.IsLost("a-1"));
}

// Guards against a disconnected host that reports the other hosts as lost.
TEST_F(HostRegistryTest, ADisconnectedHostReportsNoLostHosts) {
  for (int step = 0; step < 100; ++step) {
    now_ += milliseconds(500);
    EXPECT_TRUE(registry_.Step(now_).lost_ids.empty());
  }
}

// Guards against sending callers to hosts that are lost because most others are
// lost, too: of three hosts one came back, and 0 of 950 requests were served.
TEST_F(HostRegistryTest, AHostThatIsAloneNamesOnlyItself) {
  for (const char* zone : {"a", "b", "c"}) {
    for (int number = 1; number <= kHostsPerZone; ++number) {
      registry_.OnReportedLost(zone + ("-" + std::to_string(number)), kStart);
    }
  }
  const std::vector<endpoint> own{registry_.self().caller_address};
  for (const char* zone : {"a", "b", "c"}) {
    EXPECT_EQ(registry_.AddressesFor(zone), own) << zone;
  }
}

// Guards against hosts that each take the whole retry allowance of the fleet
// because datagrams between them are lost.
TEST_F(HostRegistryTest, AHostThatIsAloneKeepsToItsPartOfTheFleetsLimits) {
  const std::size_t before = registry_.BudgetedHostCount();
  EXPECT_EQ(before, 9U);
  Detect(AllBut({"a-1"}), seconds(15));
  EXPECT_EQ(registry_.ServingHosts().size(), 1U);
  EXPECT_EQ(registry_.BudgetedHostCount(), before);
}

// Guards against lost hosts whose loss is not detected because most pings go to
// hosts that are known to be lost.
TEST_F(HostRegistryTest, ALossIsDetectedBesideManyLostHosts) {
  std::set<std::string> silent;
  for (int number = 2; number <= kHostsPerZone; ++number) {
    const std::string id = "a-" + std::to_string(number);
    if (!ServingIds("a").contains(id)) {
      silent.insert(id);
      registry_.OnReportedLost(id, now_);
    }
  }
  Detect(silent, seconds(10));
  const std::set<std::string> serving = ServingIds("a");
  const std::string victim = *serving.begin() == "a-1"
                                 ? *std::next(serving.begin())
                                 : *serving.begin();
  silent.insert(victim);
  Detect(silent, seconds(5));
  EXPECT_FALSE(ServingIds("a").contains(victim));
}

// Guards against a host whose messages cannot be received for a moment and
// that is not named again once they can.
TEST_F(HostRegistryTest, HostsThatRespondAgainAreNamedAgain) {
  const std::vector<endpoint> before = registry_.AddressesFor("b");
  Detect(AllBut({"a-1"}), seconds(15));
  Detect({}, seconds(1));
  EXPECT_EQ(registry_.AddressesFor("b"), before);
}

// A fleet in virtual time most of which was lost at the same moment. The
// survivors exchange pings and reports of losses without a delay.
struct survival {
  int zones = 1;
  int hosts_per_zone = 1;
  int survivors = 1;
};

class surviving_fleet {
 public:
  surviving_fleet(const survival& fleet, std::uint64_t seed) : random_(seed) {
    for (int number = 1; number <= fleet.hosts_per_zone; ++number) {
      for (int zone = 0; zone < fleet.zones; ++zone) {
        hosts_.push_back(
            MakeHost(std::string(1, static_cast<char>('a' + zone)), number));
        zones_.insert(hosts_.back().zone);
      }
    }
    for (int index = 0; index < fleet.survivors; ++index) {
      const host_entry& self = hosts_[static_cast<std::size_t>(index)];
      host_registry& added =
          survivors_.emplace(self.id, host_registry(self, random_))
              .first->second;
      for (const host_entry& host : hosts_) {
        added.Add(host);
        added.OnMessageFrom(host.id, now_);
      }
    }
  }

  void Run(duration time) {
    const time_point end = now_ + time;
    for (; now_ < end; now_ += milliseconds(500)) {
      for (registry_map::value_type& host : survivors_) {
        Step(host.first, host.second);
      }
    }
  }

  // Returns the answers to callers of all zones that name a lost host or none.
  std::vector<std::string> WrongAnswers() const {
    std::set<std::string> alive;
    for (const registry_map::value_type& host : survivors_) {
      alive.insert(FormatEndpoint(host.second.self().caller_address));
    }
    std::vector<std::string> wrong;
    for (const registry_map::value_type& host : survivors_) {
      for (const std::string& zone : zones_) {
        const std::vector<endpoint> named = host.second.AddressesFor(zone);
        if (named.empty() ||
            std::any_of(named.begin(), named.end(),
                        [&alive](const endpoint& address) {
                          return !alive.contains(FormatEndpoint(address));
                        })) {
          wrong.push_back(host.first + " to zone " + zone);
        }
      }
    }
    return wrong;
  }

 private:
  using registry_map = std::map<std::string, host_registry>;

  void Step(const std::string& id, host_registry& host) {
    const detector_actions actions = host.Step(now_);
    for (const due_ping& ping : actions.pings) {
      for (registry_map::value_type& other : survivors_) {
        if (other.second.self().peer_address == ping.address) {
          other.second.OnMessageFrom(id, now_);
          host.OnMessageFrom(other.first, now_);
        }
      }
    }
    for (const std::string& lost : actions.lost_ids) {
      for (registry_map::value_type& other : survivors_) {
        other.second.OnReportedLost(lost, now_);
      }
    }
  }

  seeded_random random_;
  std::vector<host_entry> hosts_;
  std::set<std::string> zones_;
  registry_map survivors_;
  time_point now_ = kStart;
};

class SurvivorTest : public testing::TestWithParam<survival> {};

// Guards against callers that are sent to lost hosts after most hosts were lost
// at once, whatever their number: by the time until which a fleet must have
// recovered, only hosts that respond are named to callers of any zone.
TEST_P(SurvivorTest, OnlyHostsThatRespondAreNamedAfterTheRecoveryTime) {
  constexpr seconds kRecoveryTime{15};
  constexpr std::uint64_t kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    surviving_fleet fleet(GetParam(), seed);
    fleet.Run(kRecoveryTime);
    EXPECT_EQ(fleet.WrongAnswers(), std::vector<std::string>{})
        << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    SurvivorTest,
    testing::Values(
        survival{.zones = 1, .hosts_per_zone = 3, .survivors = 1},
        survival{.zones = 1, .hosts_per_zone = 48, .survivors = 1},
        survival{.zones = 3, .hosts_per_zone = 16, .survivors = 1},
        survival{.zones = 3, .hosts_per_zone = 16, .survivors = 16},
        survival{.zones = 5, .hosts_per_zone = 88, .survivors = 5},
        survival{.zones = 5, .hosts_per_zone = 88, .survivors = 1},
        survival{.zones = 5, .hosts_per_zone = 88, .survivors = 40}));

TEST_F(HostRegistryTest, CallersOfAZoneWithoutHostsUseOtherZones) {
  EXPECT_EQ(registry_.AddressesFor("elsewhere").size(), 9U);
}

TEST_F(HostRegistryTest, ALeavingHostGetsNoCallersUntilItIsBack) {
  const std::set<std::string> before = ServingIds("b");
  const std::string leaving = *before.begin();
  registry_.OnLeaving(leaving);
  EXPECT_FALSE(ServingIds("b").contains(leaving));
  EXPECT_EQ(ServingIds("b").size(), 3U);
  // The host stays known: it still serves callers that have its address, and
  // its reports count.
  ASSERT_TRUE(registry_.Find(leaving));
  const host_entry entry = *registry_.Find(leaving);
  registry_.Add(entry);
  EXPECT_EQ(ServingIds("b"), before);
}

// Guards against a host that serves as soon as it has rules without having
// announced itself to other zones, and against a host that announces itself to
// them although it will not serve.
TEST_F(HostRegistryTest, KnowsWhetherItServesOnceItIsReady) {
  std::set<std::string> candidates;
  for (int number = 1; number <= kHostsPerZone; ++number) {
    seeded_random random(1);
    host_registry own(MakeHost("a", number), random, kThreePerZone);
    for (int other = 1; other <= kHostsPerZone; ++other) {
      own.Add(MakeHost("a", other));
    }
    own.SetReady(own.self().id, false);
    EXPECT_FALSE(own.IsServing());
    if (own.ServesWhenReady()) {
      candidates.insert(own.self().id);
    }
  }
  EXPECT_EQ(candidates, ServingIds("a"));
}

// Guards against sending callers to hosts without a configuration, for
// example hosts that restart while the store is unavailable.
TEST_F(HostRegistryTest, AHostThatIsNotReadyGetsNoCallers) {
  const std::set<std::string> before = ServingIds("b");
  const std::string unready = *before.begin();
  EXPECT_TRUE(registry_.SetReady(unready, false));
  EXPECT_FALSE(registry_.SetReady(unready, false));
  EXPECT_FALSE(ServingIds("b").contains(unready));
  EXPECT_EQ(ServingIds("b").size(), 3U);
  EXPECT_TRUE(registry_.SetReady(unready, true));
  EXPECT_EQ(ServingIds("b"), before);
}

TEST_F(HostRegistryTest, WithoutAReadyHostThereIsNoAddress) {
  for (const char* zone : {"a", "b", "c"}) {
    for (int number = 1; number <= kHostsPerZone; ++number) {
      registry_.SetReady(zone + ("-" + std::to_string(number)), false);
    }
  }
  EXPECT_TRUE(registry_.AddressesFor("a").empty());
  EXPECT_FALSE(registry_.IsZoneLeader());
}

// Guards against a ready host that gets no callers because its announcement got
// lost.
TEST_F(HostRegistryTest, AHostThatIsNotReadyIsPinged) {
  const auto is_not_serving = [this](const std::string& id) {
    return !ServingIds("a").contains(id);
  };
  std::string unready;
  for (int number = 2; number <= kHostsPerZone; ++number) {
    const std::string id = "a-" + std::to_string(number);
    if (is_not_serving(id)) {
      unready = id;
    }
  }
  registry_.SetReady(unready, false);
  Detect({unready}, seconds(10));
  EXPECT_TRUE(registry_.IsLost(unready));
}

// Guards against hosts of a zone that read the store at the same time: each has
// a place of its own among those that respond.
TEST_F(HostRegistryTest, HostsOfAZoneHaveDifferentPlaces) {
  std::set<std::size_t> places;
  for (int number = 1; number <= kHostsPerZone; ++number) {
    seeded_random random(1);
    host_registry own(MakeHost("a", number), random, kThreePerZone);
    for (int other = 1; other <= kHostsPerZone; ++other) {
      own.Add(MakeHost("a", other));
      own.Add(MakeHost("b", other));
    }
    places.insert(own.PlaceInZone());
    EXPECT_EQ(own.PlaceInZone() == 0, own.IsZoneLeader());
    EXPECT_FALSE(own.IsAhead(own.self().id));
    EXPECT_FALSE(own.IsAhead("b-1"));
    EXPECT_FALSE(own.IsAhead("unknown"));
    std::size_t ahead = 0;
    for (const host_entry* host : own.OtherHosts()) {
      ahead += own.IsAhead(host->id) ? 1 : 0;
    }
    EXPECT_EQ(ahead, own.PlaceInZone());
    for (const host_entry* host : own.OtherHosts()) {
      own.OnReportedLost(host->id, kStart);
    }
    EXPECT_EQ(own.PlaceInZone(), 0U);
  }
  EXPECT_EQ(places.size(), std::size_t{kHostsPerZone});
}

TEST_F(HostRegistryTest, EachZoneHasOneLeader) {
  int leaders = 0;
  for (int number = 1; number <= kHostsPerZone; ++number) {
    host_registry other(MakeHost("c", number), random_, kThreePerZone);
    for (int added = 1; added <= kHostsPerZone; ++added) {
      other.Add(MakeHost("c", added));
    }
    leaders += other.IsZoneLeader() ? 1 : 0;
  }
  EXPECT_EQ(leaders, 1);
  EXPECT_EQ(registry_.ZoneNeighbours().size(), kHostsPerZone - 1U);
}

}  // namespace
}  // namespace bulrushshore

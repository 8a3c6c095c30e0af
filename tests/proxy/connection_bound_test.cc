#include "libraries/proxy/connection_bound.h"

#include <gtest/gtest.h>

#include "tests/proxy/fakes.h"

namespace bulrushshore {
namespace {

constexpr std::uint32_t kMaxConnections = 450;

host_record Host(std::size_t index, std::size_t zones) {
  host_record host;
  host.id = "host-" + std::to_string(index);
  host.zone = "zone-" + std::to_string(index % zones);
  return host;
}

target Target(std::size_t index) {
  target added;
  added.service = "archive";
  added.name = "target-" + std::to_string(index);
  added.max_connections = kMaxConnections;
  return added;
}

// A service with targets of six slots.
catalog_contents Catalog(std::size_t targets) {
  catalog_contents contents;
  contents.services["archive"].name = "archive";
  for (std::size_t index = 0; index < targets; ++index) {
    const target added = Target(index);
    contents.targets["archive/" + added.name] = added;
  }
  return contents;
}

struct fleet_bounds {
  std::size_t members = 0;
  // Connections of the hosts of the set together.
  std::size_t of_members = 0;
  // Bound of one host outside the set.
  std::size_t of_other = 0;
};

// Asks each host of a fleet for its bound.
fleet_bounds BoundsOf(std::size_t hosts,
                      std::size_t zones,
                      const catalog_contents& contents) {
  fixed_snapshot snapshot(contents);
  manual_clock time;
  fleet_bounds bounds;
  for (std::size_t self = 0; self < hosts; ++self) {
    fake_directory directory(Host(self, zones));
    for (std::size_t other = 0; other < hosts; ++other) {
      if (other != self) {
        directory.others.push_back(Host(other, zones));
      }
    }
    connection_bound bound(snapshot, directory, time);
    const std::size_t own = bound.Of(Target(0));
    const bool is_member = HostSetOf("archive", directory.Self().id,
                                     directory.Hosts(), *snapshot.Current(), {})
                               .is_member;
    bounds.members += is_member ? 1 : 0;
    bounds.of_members += is_member ? own : 0;
    bounds.of_other = is_member ? bounds.of_other : own;
  }
  return bounds;
}

// Guards against a set of hosts that overruns a target, also when a set of the
// same size has just replaced another one whose callers come late.
TEST(ConnectionBoundTest, FleetStaysWithinTheTargetsLimit) {
  const fleet_bounds small = BoundsOf(63, 3, Catalog(14));
  EXPECT_EQ(small.members, 6U);
  EXPECT_EQ(small.of_members, 6U * 56U);
  EXPECT_EQ(small.of_other, 18U);
  EXPECT_LE(small.of_members + small.members * small.of_other, kMaxConnections);
  const fleet_bounds full = BoundsOf(600, 5, Catalog(27));
  EXPECT_EQ(full.members, 15U);
  EXPECT_EQ(full.of_members, 15U * 22U);
  EXPECT_EQ(full.of_other, 7U);
  EXPECT_LE(full.of_members + full.members * full.of_other, kMaxConnections);
}

// Guards against a host that may open no connection at all.
TEST(ConnectionBoundTest, EveryHostHasAConnection) {
  EXPECT_EQ(ShareConnections(1, 15).of_member, 1U);
  EXPECT_EQ(ShareConnections(1, 15).of_other, 1U);
  EXPECT_EQ(ShareConnections(450, 0).of_member, 337U);
}

// Guards against a bound that stays as it was when hosts come or go.
TEST(ConnectionBoundTest, FollowsTheFleet) {
  const catalog_contents contents = Catalog(6);
  fixed_snapshot snapshot(contents);
  manual_clock time;
  fake_directory directory(Host(0, 1));
  connection_bound bound(snapshot, directory, time);
  EXPECT_EQ(bound.Of(Target(0)), 337U);
  directory.others.push_back(Host(1, 1));
  EXPECT_EQ(bound.Of(Target(0)), 337U);
  time.Advance(std::chrono::seconds(2));
  EXPECT_EQ(bound.Of(Target(0)), 168U);
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/membership/host_assignment.h"

#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "tests/membership/fleet_fixture.h"

namespace bulrushshore {
namespace {

std::vector<host_record> Fleet(std::size_t count) {
  std::vector<host_record> hosts;
  for (std::size_t index = 0; index < count; ++index) {
    hosts.push_back(TestRecord(index, index + 1));
  }
  return hosts;
}

std::set<std::string> Assigned(const std::string& service,
                               const std::vector<host_record>& hosts,
                               std::uint64_t slots) {
  std::set<std::string> ids;
  for (const host_record* host : AssignHosts(service, slots, hosts, {})) {
    ids.insert(host->id);
  }
  return ids;
}

// Guards against a service that loses all its hosts with one zone.
TEST(HostAssignmentTest, SetIsSpreadOverZonesAndLargeEnough) {
  const std::vector<host_record> hosts = Fleet(60);
  std::map<std::string, int> zones;
  for (const host_record* host : AssignHosts("archive", 36, hosts, {})) {
    ++zones[host->zone];
  }
  EXPECT_EQ(zones, (std::map<std::string, int>{{"a", 2}, {"b", 2}, {"c", 2}}));
  // 480 slots at 16 slots per host need 30 hosts, 10 in each zone.
  EXPECT_EQ(Assigned("archive", hosts, 480).size(), 30U);
}

// Guards against callers that all move when one host comes or goes.
TEST(HostAssignmentTest, LossMovesOnlyTheLostHostsShare) {
  const std::vector<host_record> hosts = Fleet(60);
  for (int number = 0; number < 50; ++number) {
    const std::string service = "service-" + std::to_string(number);
    const std::set<std::string> before = Assigned(service, hosts, 72);
    std::vector<host_record> after_loss = hosts;
    after_loss[7].state = host_state::kLost;
    std::set<std::string> remaining = before;
    remaining.erase("host-7");
    const std::set<std::string> after = Assigned(service, after_loss, 72);
    EXPECT_EQ(after.size(), before.size());
    EXPECT_EQ(after.count("host-7"), 0U) << service;
    for (const std::string& id : remaining) {
      EXPECT_EQ(after.count(id), 1U) << service << ' ' << id;
    }
  }
}

// Guards against hosts that are given many times the work of others.
TEST(HostAssignmentTest, ServicesAreSpreadOverTheHosts) {
  const std::vector<host_record> hosts = Fleet(600);
  std::map<std::string, int> services_per_host;
  for (int number = 0; number < 290; ++number) {
    for (const std::string& id :
         Assigned("service-" + std::to_string(number), hosts, 161)) {
      ++services_per_host[id];
    }
  }
  // 12 hosts for each of 290 services are 5.8 a host.
  for (const std::pair<const std::string, int>& item : services_per_host) {
    EXPECT_LE(item.second, 18) << item.first;
  }
  EXPECT_GT(services_per_host.size(), 570U);
}

// Guards against empty answers while only a few hosts are left.
TEST(HostAssignmentTest, SmallFleetIsUsedWhole) {
  EXPECT_EQ(Assigned("archive", Fleet(4), 36).size(), 4U);
  EXPECT_TRUE(Assigned("archive", {}, 36).empty());
}

}  // namespace
}  // namespace bulrushshore

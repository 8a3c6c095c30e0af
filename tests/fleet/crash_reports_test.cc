#include "libraries/fleet/crash_reports.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/fleet/agent_fleet.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kMinute(60);

class CrashReportsTest : public testing::Test {
 protected:
  void SetUp() override {
    for (std::size_t index = 0; index < 3; ++index) {
      fleet_.StartHost(index);
    }
    fleet_.Publish("archive", 0);
    fleet_.Run(kMinute, [this] { return fleet_.AllHaveVersion(1); });
    fleet_.Run(std::chrono::seconds(10));
  }

  void Report() {
    fleet_.at(0).agent->ReportCrash({"archive", 77, {"archive-1"}},
                                    [this] { ++done_; });
  }

  agent_fleet fleet_;
  int done_ = 0;
};

// Guards against hosts that do not learn which request crashed a target, and
// against an answer to the caller before they know.
TEST_F(CrashReportsTest, ReachTheOtherHostsOfTheService) {
  Report();
  EXPECT_EQ(done_, 0);
  fleet_.Run(kMinute, [this] { return done_ > 0; });
  EXPECT_EQ(done_, 1);
  const crash_report_message expected{"archive", 77, {"archive-1"}};
  EXPECT_TRUE(fleet_.at(0).crash_reports.empty());
  for (std::size_t index = 1; index < 3; ++index) {
    ASSERT_EQ(fleet_.at(index).crash_reports.size(), 1U);
    EXPECT_EQ(fleet_.at(index).crash_reports[0], expected);
  }
}

// Guards against a response that waits for ever for a host that is cut off.
TEST_F(CrashReportsTest, EndWithoutAnswersOfHostsThatAreCutOff) {
  fleet_.network().Cut(agent_fleet::PeerAddress(1),
                       agent_fleet::PeerAddress(0));
  Report();
  fleet_.Run(kMinute, [this] { return done_ > 0; });
  EXPECT_EQ(done_, 1);
  EXPECT_EQ(fleet_.at(2).crash_reports.size(), 1U);
}

// Guards against hosts outside the discovery response that run the request
// again, and against reports to hundreds of hosts.
TEST(CrashReportReceiversTest, AreAllHostsOfASmallFleet) {
  std::vector<host_record> hosts(64);
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    hosts[index].id = "host-" + std::to_string(index);
  }
  const std::vector<host_record> of_service = {hosts[0], hosts[1]};
  EXPECT_EQ(ReceiversOfCrashReport(hosts, "host-0", of_service).size(), 63U);
  hosts[2].state = host_state::kLost;
  EXPECT_EQ(ReceiversOfCrashReport(hosts, "host-0", of_service).size(), 62U);
  hosts.emplace_back().id = "host-64";
  const std::vector<host_record> some =
      ReceiversOfCrashReport(hosts, "host-0", of_service);
  ASSERT_EQ(some.size(), 1U);
  EXPECT_EQ(some[0].id, "host-1");
  EXPECT_TRUE(ReceiversOfCrashReport({hosts[0]}, "host-0", {}).empty());
}

// Guards against a host with a broken network that makes the other hosts hold
// back every request it loses.
TEST(CrashReportBudgetTest, BoundsReportsInTime) {
  crash_report_budget budget({2.0, 0.5});
  const time_point start{std::chrono::hours(1)};
  EXPECT_TRUE(budget.TryTake(start));
  EXPECT_TRUE(budget.TryTake(start));
  EXPECT_FALSE(budget.TryTake(start));
  EXPECT_FALSE(budget.TryTake(start + std::chrono::seconds(1)));
  EXPECT_TRUE(budget.TryTake(start + std::chrono::seconds(2)));
  EXPECT_FALSE(budget.TryTake(start + std::chrono::seconds(2)));
}

}  // namespace
}  // namespace bulrushshore

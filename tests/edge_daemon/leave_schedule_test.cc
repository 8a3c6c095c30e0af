#include "services/edge_daemon/leave_schedule.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr leave_options kOptions{.caller_memory = milliseconds(2800),
                                 .grace = seconds(6),
                                 .margin = milliseconds(300)};

// Callers use an old list for a while, so a host that ends at once would lose
// the requests that are on their way.
TEST(LeaveScheduleTest, ServesWhileCallersRememberTheHost) {
  EXPECT_EQ(PhaseOfLeaving(seconds(0), 0, kOptions), leave_phase::kServing);
  EXPECT_EQ(PhaseOfLeaving(milliseconds(2799), 5, kOptions),
            leave_phase::kServing);
}

TEST(LeaveScheduleTest, EndsWhenTheLastRequestIsAnswered) {
  EXPECT_EQ(PhaseOfLeaving(seconds(3), 1, kOptions), leave_phase::kRefusing);
  EXPECT_EQ(PhaseOfLeaving(seconds(3), 0, kOptions), leave_phase::kEnded);
}

TEST(LeaveScheduleTest, EndsBeforeTheProcessIsKilled) {
  EXPECT_EQ(PhaseOfLeaving(milliseconds(5699), 1, kOptions),
            leave_phase::kRefusing);
  EXPECT_EQ(PhaseOfLeaving(milliseconds(5700), 1, kOptions),
            leave_phase::kEnded);
}

}  // namespace
}  // namespace bulrushshore

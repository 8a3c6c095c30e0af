#include "services/edge_daemon/leave_schedule.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr leave_options kOptions{.caller_list_lifetime = milliseconds(2800),
                                 .grace = seconds(6),
                                 .margin = milliseconds(300)};

// Guards against a host that shuts down at once: callers use an old list of
// hosts for a while, and the requests that they still send would be lost.
TEST(LeaveScheduleTest, ServesWhileCallersMayUseAnOldList) {
  EXPECT_EQ(LeavePhaseAt(seconds(0), 0, kOptions), leave_phase::kServing);
  EXPECT_EQ(LeavePhaseAt(milliseconds(2799), 5, kOptions),
            leave_phase::kServing);
}

// Guards against a host that cuts off a request in flight, or that keeps
// running when none is left.
TEST(LeaveScheduleTest, EndsAfterTheLastResponse) {
  EXPECT_EQ(LeavePhaseAt(seconds(3), 1, kOptions), leave_phase::kRefusing);
  EXPECT_EQ(LeavePhaseAt(seconds(3), 0, kOptions), leave_phase::kEnded);
}

// Guards against a process that is killed before it has shut down by itself.
TEST(LeaveScheduleTest, EndsBeforeTheProcessIsKilled) {
  EXPECT_EQ(LeavePhaseAt(milliseconds(5699), 1, kOptions),
            leave_phase::kRefusing);
  EXPECT_EQ(LeavePhaseAt(milliseconds(5700), 1, kOptions), leave_phase::kEnded);
}

}  // namespace
}  // namespace bulrushshore

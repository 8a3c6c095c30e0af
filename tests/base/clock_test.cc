#include "libraries/base/clock.h"

#include <gtest/gtest.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scheduler/test_coordinator.hpp>

namespace bulrushshore {
namespace {

// Guards against code that reads the system clock while tests pause the
// runtime's clock.
TEST(RuntimeClockTest, FollowsThePausedClockOfTheRuntime) {
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom("testing"));
  caf::actor_system system{config};
  const runtime_clock watched{system.clock()};
  const time_point start = watched.Now();
  EXPECT_EQ(watched.Now(), start);
  caf::scheduler::test_coordinator& scheduler =
      dynamic_cast<caf::scheduler::test_coordinator&>(system.scheduler());
  scheduler.advance_time(std::chrono::seconds(3));
  EXPECT_EQ(watched.Now() - start, std::chrono::seconds(3));
}

}  // namespace
}  // namespace bulrushshore

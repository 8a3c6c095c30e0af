// A request that crashes each target that runs it, sent again through other
// hosts, with real processes.

#include <cstdint>
#include <iostream>
#include <string>

#include <gtest/gtest.h>

#include "tests/system/fault_schedule.h"
#include "tests/system/history_verdict.h"
#include "tests/system/process_fleet.h"
#include "tests/system/schedule_runner.h"

namespace bulrushshore {
namespace {

constexpr std::uint64_t kTargetsLost = 2;

// Guards against a request that costs one more target with each host that its
// caller tries, until none is left for other requests.
TEST(QueryOfDeathTest, CostsTwoTargetsAlsoThroughOtherHosts) {
  constexpr std::uint64_t kSeed = 1;
  process_fleet fleet(kSeed);
  ASSERT_TRUE(fleet.Start());
  const fault_schedule schedule = {{fault_kind::kCrashingRequest, 0,
                                    std::chrono::milliseconds(1'000),
                                    std::chrono::milliseconds(0)}};
  schedule_runner runner(fleet, schedule, kSeed);
  ASSERT_TRUE(runner.Run());
  ASSERT_TRUE(fleet.Stop());
  const result<operation_history> history = ReadHistories(fleet.folder());
  ASSERT_TRUE(IsOk(history));
  const std::string kind(kCrashingKind);
  const std::uint64_t lost = CountRuns(ValueOf(history), kind);
  const std::uint64_t answers = CountAnswersAfter(ValueOf(history), kind);
  std::cout << "targets lost " << lost << ", answers to others afterwards "
            << answers << "\n";
  EXPECT_GE(lost, 1U);
  EXPECT_LE(lost, kTargetsLost);
  EXPECT_GT(answers, 0U);
  EXPECT_TRUE(CheckHistory(ValueOf(history)).violations.empty());
  if (HasFailure()) {
    std::cout << "the histories are in " << fleet.Keep() << "\n";
  }
}

}  // namespace
}  // namespace bulrushshore

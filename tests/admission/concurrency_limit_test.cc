#include "libraries/admission/concurrency_limit.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr duration kRoundInterval = std::chrono::milliseconds(50);

// Keeps the limit fully used against a target that serves `capacity` concurrent
// requests and sheds the rest; returns the number of requests shed.
int RunRounds(concurrency_limit& limit,
              std::uint32_t capacity,
              int rounds,
              time_point& now) {
  int shed_count = 0;
  for (int round = 0; round < rounds; ++round) {
    now += kRoundInterval;
    std::uint32_t in_flight = 0;
    while (limit.Allows(in_flight, now)) {
      ++in_flight;
    }
    for (std::uint32_t running = in_flight; running > 0; --running) {
      if (running > capacity) {
        limit.RecordShed(running, now);
        ++shed_count;
      } else {
        limit.RecordCompleted(running);
      }
    }
  }
  return shed_count;
}

// Guards against a host that keeps sending more requests than the target can
// serve, and against a limit that does not recover when the target can serve
// more.
TEST(ConcurrencyLimitTest, ConvergesToTheCapacityOfTheTarget) {
  concurrency_limit limit(6);
  time_point now{std::chrono::hours(1)};
  RunRounds(limit, 2, 100, now);
  EXPECT_LT(limit.limit(), 4.0);
  const int shed_count = RunRounds(limit, 2, 400, now);
  EXPECT_LT(shed_count, 20) << "the limit oscillates around the capacity";
  RunRounds(limit, 6, 400, now);
  EXPECT_EQ(limit.limit(), 6.0) << "the limit does not recover";
}

// Guards against sending all traffic to a target that refuses every request at
// once and so never has requests in flight.
TEST(ConcurrencyLimitTest, PausesATargetThatShedsTheOnlyRequest) {
  concurrency_limit limit(6);
  const time_point now{std::chrono::hours(1)};
  limit.RecordShed(1, now);
  EXPECT_FALSE(limit.Allows(0, now));
  EXPECT_EQ(limit.PausedUntil(now), now + std::chrono::milliseconds(20));
  EXPECT_TRUE(limit.Allows(0, now + std::chrono::milliseconds(20)));
  limit.RecordShed(1, now + std::chrono::milliseconds(20));
  EXPECT_FALSE(limit.Allows(0, now + std::chrono::milliseconds(59)));
}

// Guards against several decreases of the limit because of one overload.
TEST(ConcurrencyLimitTest, DecreasesOncePerOverload) {
  concurrency_limit limit(10);
  const time_point now{std::chrono::hours(1)};
  limit.RecordShed(10, now);
  limit.RecordShed(9, now);
  EXPECT_EQ(limit.limit(), 7.0);
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/admission/request_queue.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace bulrushshore {
namespace {

const time_point kStart{std::chrono::hours(1)};

queued_request MakeRequest(std::uint64_t id,
                           const std::string& organisation,
                           bool is_long = false) {
  return {id, organisation, kStart + std::chrono::milliseconds(id), is_long};
}

bool AcceptAny(const queued_request&) {
  return true;
}

// Guards against an organisation that takes all turns by sending the most
// requests.
TEST(RequestQueueTest, SharesTurnsByWeight) {
  request_queue queue(1'000);
  for (std::uint64_t id = 0; id < 300; ++id) {
    queue.Push(MakeRequest(id, "flood"), 1.0);
  }
  for (std::uint64_t id = 300; id < 400; ++id) {
    queue.Push(MakeRequest(id, "heavy"), 2.0);
    queue.Push(MakeRequest(id + 100, "light"), 1.0);
  }
  std::map<std::string, int> turns;
  for (int turn = 0; turn < 80; ++turn) {
    ++turns[queue.TakeFirst(AcceptAny)->organisation];
  }
  EXPECT_NEAR(turns["heavy"], 40, 2);
  EXPECT_NEAR(turns["light"], 20, 2);
  EXPECT_NEAR(turns["flood"], 20, 2);
}

// Guards against an organisation that fills the queue and keeps all others out.
TEST(RequestQueueTest, AFullQueueEvictsFromTheLongestFlow) {
  request_queue queue(10);
  for (std::uint64_t id = 0; id < 10; ++id) {
    EXPECT_TRUE(queue.Push(MakeRequest(id, "flood"), 1.0).is_accepted);
  }
  EXPECT_FALSE(queue.Push(MakeRequest(10, "flood"), 1.0).is_accepted);
  const request_queue::push_result pushed =
      queue.Push(MakeRequest(11, "other"), 1.0);
  EXPECT_TRUE(pushed.is_accepted);
  EXPECT_EQ(pushed.evicted_id, 9U);
  EXPECT_EQ(queue.size(), 10U);
}

// Guards against an estimate that counts all requests of one organisation ahead
// of the others, whose requests would then be refused.
TEST(RequestQueueTest, EstimatesRequestsAheadByFairShare) {
  request_queue queue(1'000);
  for (std::uint64_t id = 0; id < 100; ++id) {
    queue.Push(MakeRequest(id, "flood"), 1.0);
  }
  EXPECT_DOUBLE_EQ(queue.RequestsAhead("other", 1.0), 1.0);
  EXPECT_DOUBLE_EQ(queue.RequestsAhead("flood", 1.0), 100.0);
}

// Guards against a request that cannot start and blocks those behind it.
TEST(RequestQueueTest, SkipsRequestsThatCannotStart) {
  request_queue queue(10);
  queue.Push(MakeRequest(1, "a", true), 1.0);
  queue.Push(MakeRequest(2, "a"), 1.0);
  EXPECT_EQ(queue.short_count(), 1U);
  const std::optional<queued_request> taken = queue.TakeFirst(
      [](const queued_request& request) { return !request.is_long; });
  EXPECT_EQ(taken->id, 2U);
  EXPECT_EQ(queue.short_count(), 0U);
  EXPECT_EQ(queue.size(), 1U);
}

// Guards against requests that are lost, returned twice or kept past their
// expiry, and against a queue beyond its capacity, under any sequence of
// operations.
RC_GTEST_PROP(RequestQueueProperty, NeverLosesOrDuplicatesRequests, ()) {
  constexpr std::size_t kCapacity = 8;
  request_queue queue(kCapacity);
  std::set<std::uint64_t> expected;
  std::uint64_t next_id = 1;
  time_point now = kStart;
  const int steps = *rc::gen::inRange(0, 200);
  for (int step = 0; step < steps; ++step) {
    const int action = *rc::gen::inRange(0, 6);
    if (action <= 2) {
      const std::uint64_t id = next_id++;
      const std::string organisation(1, *rc::gen::inRange('a', 'e'));
      const double weight = *rc::gen::inRange(1, 4);
      const request_queue::push_result pushed =
          queue.Push(MakeRequest(id, organisation, id % 3 == 0), weight);
      if (pushed.is_accepted) {
        expected.insert(id);
      }
      if (pushed.evicted_id) {
        RC_ASSERT(expected.erase(*pushed.evicted_id) == 1U);
      }
    } else if (action == 3) {
      const std::optional<queued_request> taken = queue.TakeFirst(AcceptAny);
      RC_ASSERT(taken.has_value() == !expected.empty());
      RC_ASSERT(!taken || expected.erase(taken->id) == 1U);
    } else if (action == 4) {
      const std::uint64_t id = *rc::gen::inRange<std::uint64_t>(0, 40);
      RC_ASSERT(queue.Remove(id) == (expected.erase(id) == 1U));
    } else {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 10));
      for (const queued_request& expired : queue.TakeExpired(now)) {
        RC_ASSERT(expired.expires_at <= now);
        RC_ASSERT(expected.erase(expired.id) == 1U);
      }
      RC_ASSERT(!queue.NextExpiry() || *queue.NextExpiry() > now);
    }
    RC_ASSERT(queue.size() == expected.size());
    RC_ASSERT(queue.size() <= kCapacity);
  }
}

}  // namespace
}  // namespace bulrushshore

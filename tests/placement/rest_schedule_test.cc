#include "libraries/placement/rest_schedule.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr duration kMaximum = std::chrono::seconds(60);

class RestScheduleTest : public testing::Test {
 protected:
  rest_schedule rests_{kMaximum};
  suspicion_tracker::target_key target_{"t", 5};
};

TEST_F(RestScheduleTest, ATargetRestsForTheRequestedTime) {
  rests_.Record(target_, milliseconds(500), kStart);
  EXPECT_EQ(rests_.RestingUntil(target_, kStart + milliseconds(499)),
            kStart + milliseconds(500));
  EXPECT_FALSE(rests_.RestingUntil(target_, kStart + milliseconds(500)));
}

// Guards against responses to requests that were in flight together: the last
// one does not shorten a rest that an earlier one asked for.
TEST_F(RestScheduleTest, ALaterRequestDoesNotShortenARest) {
  rests_.Record(target_, milliseconds(2000), kStart);
  rests_.Record(target_, milliseconds(100), kStart + milliseconds(10));
  EXPECT_TRUE(rests_.RestingUntil(target_, kStart + milliseconds(1500)));
}

// Guards against a target that takes itself out of use for good.
TEST_F(RestScheduleTest, RestsAreBounded) {
  rests_.Record(target_, std::chrono::hours(24), kStart);
  EXPECT_FALSE(rests_.RestingUntil(target_, kStart + kMaximum));
}

TEST_F(RestScheduleTest, ARestConcernsOneIncarnation) {
  rests_.Record(target_, milliseconds(2000), kStart);
  EXPECT_FALSE(rests_.RestingUntil({"t", 6}, kStart));
  rests_.Record({"t", 6}, milliseconds(100), kStart);
  EXPECT_EQ(rests_.RestingUntil({"t", 6}, kStart), kStart + milliseconds(100));
}

TEST_F(RestScheduleTest, ForgetsRestsThatHaveEnded) {
  rests_.Record(target_, milliseconds(100), kStart);
  rests_.Forget(kStart + milliseconds(99));
  EXPECT_FALSE(rests_.empty());
  rests_.Forget(kStart + milliseconds(100));
  EXPECT_TRUE(rests_.empty());
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/placement/floor_keeper.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

class FloorKeeperTest : public testing::Test {
 protected:
  // Records 100 requests, of which the given numbers are repeatable and not
  // served.
  void RecordRequests(int repeatable, int unserved) {
    for (int request = 0; request < 100; ++request) {
      keeper_.Record(request % 100 < repeatable, request >= unserved, kStart);
    }
  }

  bool MustUseFloor(attempt_role role) const {
    return keeper_.MustUseFloor(role, kStart);
  }

  floor_keeper keeper_;
};

// Guards against requests at suspected targets although exclusion works.
TEST_F(FloorKeeperTest, AHealthyServiceMayLeaveSuspectedTargetsUnused) {
  RecordRequests(50, 7);
  EXPECT_FALSE(MustUseFloor(attempt_role::kRepeatableFirst));
  EXPECT_FALSE(MustUseFloor(attempt_role::kOnceOnlyFirst));
}

// Guards against losing requests that must not run twice at targets that are
// known to fail, while repeatable requests can show whether they recovered.
TEST_F(FloorKeeperTest, RepeatableRequestsKeepTheFloorInUse) {
  RecordRequests(50, 20);
  EXPECT_TRUE(MustUseFloor(attempt_role::kRepeatableFirst));
  EXPECT_FALSE(MustUseFloor(attempt_role::kOnceOnlyFirst));
}

// Guards against a service without repeatable requests whose suspected targets
// get no request for seconds, although load may be the cause of the failures.
TEST_F(FloorKeeperTest, OtherRequestsDoIfFewAreRepeatable) {
  RecordRequests(10, 20);
  EXPECT_TRUE(MustUseFloor(attempt_role::kRepeatableFirst));
  EXPECT_TRUE(MustUseFloor(attempt_role::kOnceOnlyFirst));
}

// Guards against a retry, which may be the last attempt and uses the budget, at
// a target that is known to fail.
TEST_F(FloorKeeperTest, RetriesNeverDo) {
  RecordRequests(10, 60);
  EXPECT_FALSE(MustUseFloor(attempt_role::kRetry));
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/gateway/attempt_plan.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

class AttemptPlanTest : public testing::Test {
 protected:
  attempt_plan Started(bool is_idempotent, std::uint32_t max_attempts) {
    attempt_plan plan({is_idempotent, max_attempts}, budget_);
    plan.OnStart();
    return plan;
  }

  retry_budget budget_{{.tokens_per_first_attempt = 0.0,
                        .maximum_tokens = 10.0,
                        .initial_tokens = 1.0}};
};

// Work that must not repeat is sent again only if it provably did not run.
TEST_F(AttemptPlanTest, NonIdempotentWorkIsNotRepeated) {
  for (const attempt_end end :
       {attempt_end::kUnknown, attempt_end::kErrorAnswer}) {
    attempt_plan plan = Started(false, 3);
    const next_step step = plan.OnEnd(end);
    EXPECT_TRUE(step == next_step::kFail ||
                step == next_step::kDeliverErrorAnswer);
  }
  EXPECT_EQ(budget_.tokens(), 1.0);
  attempt_plan refused = Started(false, 3);
  EXPECT_EQ(refused.OnEnd(attempt_end::kNotExecuted),
            next_step::kTryAnotherTarget);
}

TEST_F(AttemptPlanTest, NonIdempotentWorkHasNoSecondAttemptBesideTheFirst) {
  attempt_plan plan = Started(false, 3);
  EXPECT_FALSE(plan.TryStartSecondAttempt());
}

TEST_F(AttemptPlanTest, IdempotentWorkIsSentAgainWithinTheBudget) {
  attempt_plan plan = Started(true, 3);
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kTryAnotherTarget);
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kFail);
}

// Guards against repeats that are spent on targets which are only being tried:
// each draws on a budget, and it may be the last attempt.
TEST_F(AttemptPlanTest, OnlyFirstAttemptsOfIdempotentWorkTryTargets) {
  attempt_plan plan({true, 3}, budget_);
  EXPECT_FALSE(plan.MustAvoidFailingTargets());
  plan.OnStart();
  EXPECT_TRUE(plan.MustAvoidFailingTargets());
  EXPECT_EQ(plan.OnEnd(attempt_end::kErrorAnswer),
            next_step::kTryAnotherTarget);
  EXPECT_TRUE(plan.MustAvoidFailingTargets());
}

TEST_F(AttemptPlanTest, AFirstAttemptWithoutAConnectionIsStillAFirstAttempt) {
  attempt_plan plan = Started(true, 3);
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kTryAnotherTarget);
  EXPECT_FALSE(plan.MustAvoidFailingTargets());
}

TEST_F(AttemptPlanTest, NonIdempotentWorkAvoidsFailingTargets) {
  const attempt_plan plan({false, 1}, budget_);
  EXPECT_TRUE(plan.MustAvoidFailingTargets());
}

TEST_F(AttemptPlanTest, MaxAttemptsBoundsTheTargets) {
  attempt_plan plan = Started(true, 1);
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kFail);
  EXPECT_EQ(budget_.tokens(), 1.0);
}

// "Not run" must be true: a refusal after an attempt that may have run would
// be a false promise.
TEST_F(AttemptPlanTest, RefusesOnlyIfNoAttemptMayHaveRun) {
  attempt_plan refused = Started(true, 1);
  EXPECT_EQ(refused.OnEnd(attempt_end::kNotExecuted), next_step::kRefuse);
  attempt_plan plan = Started(true, 2);
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kTryAnotherTarget);
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotExecuted), next_step::kFail);
}

TEST_F(AttemptPlanTest, AFailedConnectionCostsNoToken) {
  attempt_plan plan = Started(false, 1);
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kTryAnotherTarget);
  EXPECT_EQ(budget_.tokens(), 1.0);
  for (int attempt = 0; attempt < 2; ++attempt) {
    plan.OnStart();
    EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kTryAnotherTarget);
  }
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kRefuse);
}

TEST_F(AttemptPlanTest, TheErrorAnswerIsDeliveredIfNothingBetterComes) {
  attempt_plan plan = Started(true, 2);
  EXPECT_EQ(plan.OnEnd(attempt_end::kErrorAnswer),
            next_step::kTryAnotherTarget);
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kDeliverErrorAnswer);
}

TEST_F(AttemptPlanTest, WaitsForTheOtherAttemptInProgress) {
  attempt_plan plan = Started(true, 2);
  ASSERT_TRUE(plan.TryStartSecondAttempt());
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kWait);
  EXPECT_EQ(plan.OnEnd(attempt_end::kAnswered), next_step::kDeliver);
}

TEST_F(AttemptPlanTest, AnUnusedTokenIsReturned) {
  attempt_plan plan = Started(true, 2);
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotExecuted),
            next_step::kTryAnotherTarget);
  EXPECT_EQ(plan.OnNoTarget(), next_step::kRefuse);
  EXPECT_EQ(budget_.tokens(), 1.0);
}

TEST(OverdueAfterTest, LeavesTimeForTheSecondAttempt) {
  EXPECT_EQ(OverdueAfter(milliseconds(160), milliseconds(800)),
            milliseconds(400));
  EXPECT_EQ(OverdueAfter(milliseconds(1000), milliseconds(3000)),
            milliseconds(1700));
}

TEST(OverdueAfterTest, IsClearlyMoreThanTheUsualTime) {
  EXPECT_EQ(OverdueAfter(milliseconds(1000), milliseconds(1000)),
            milliseconds(1500));
  EXPECT_EQ(OverdueAfter(milliseconds(1), milliseconds(1000)),
            milliseconds(100));
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/gateway/attempt_plan.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

class AttemptPlanTest : public testing::Test {
 protected:
  attempt_plan StartPlan(bool is_idempotent, std::uint32_t max_attempts) {
    attempt_plan plan({is_idempotent, max_attempts}, budget_);
    plan.OnStart();
    return plan;
  }

  retry_budget budget_{{.tokens_per_first_attempt = 0.0,
                        .maximum_tokens = 10.0,
                        .initial_tokens = 1.0}};
};

// Guards against running a request that is not idempotent twice: it is retried
// only if its target stated that it did not run it.
TEST_F(AttemptPlanTest, RetriesNonIdempotentRequestOnlyIfNotExecuted) {
  for (const attempt_end end :
       {attempt_end::kUnknown, attempt_end::kErrorResponse}) {
    attempt_plan plan = StartPlan(false, 3);
    const next_step step = plan.OnEnd(end);
    EXPECT_TRUE(step == next_step::kFail ||
                step == next_step::kDeliverErrorResponse);
  }
  EXPECT_EQ(budget_.tokens(), 1.0);
  attempt_plan refused = StartPlan(false, 3);
  EXPECT_EQ(refused.OnEnd(attempt_end::kNotExecuted),
            next_step::kTryAnotherTarget);
}

// Guards against running a request that is not idempotent at two targets at the
// same time.
TEST_F(AttemptPlanTest, NonIdempotentRequestHasNoParallelAttempt) {
  attempt_plan plan = StartPlan(false, 3);
  EXPECT_FALSE(plan.TryStartSecondAttempt());
}

// Guards against retries without a token, which multiply the load during an
// outage.
TEST_F(AttemptPlanTest, RetriesIdempotentRequestWithinBudget) {
  attempt_plan plan = StartPlan(true, 3);
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kTryAnotherTarget);
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kFail);
}

// Guards against retries that go to failing targets: each retry uses the budget
// and may be the last attempt.
TEST_F(AttemptPlanTest,
       OnlyFirstAttemptsOfIdempotentRequestsMayProbeFailingTargets) {
  attempt_plan plan({true, 3}, budget_);
  EXPECT_FALSE(plan.MustAvoidFailingTargets());
  plan.OnStart();
  EXPECT_TRUE(plan.MustAvoidFailingTargets());
  EXPECT_EQ(plan.OnEnd(attempt_end::kErrorResponse),
            next_step::kTryAnotherTarget);
  EXPECT_TRUE(plan.MustAvoidFailingTargets());
}

// Guards against counting a failed connection as a sent request.
TEST_F(AttemptPlanTest, AttemptAfterFailedConnectionCountsAsFirst) {
  attempt_plan plan = StartPlan(true, 3);
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kTryAnotherTarget);
  EXPECT_FALSE(plan.MustAvoidFailingTargets());
}

TEST_F(AttemptPlanTest, NonIdempotentRequestAvoidsFailingTargets) {
  const attempt_plan plan({false, 1}, budget_);
  EXPECT_TRUE(plan.MustAvoidFailingTargets());
}

// Guards against retries beyond max_attempts, and against taking a token for
// them.
TEST_F(AttemptPlanTest, MaxAttemptsLimitsRetries) {
  attempt_plan plan = StartPlan(true, 1);
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kFail);
  EXPECT_EQ(budget_.tokens(), 1.0);
}

// Guards against a refusal, which states that the request has not run, after an
// attempt that may have run it.
TEST_F(AttemptPlanTest, RefusesOnlyIfNoAttemptMayHaveRun) {
  attempt_plan refused = StartPlan(true, 1);
  EXPECT_EQ(refused.OnEnd(attempt_end::kNotExecuted), next_step::kRefuse);
  attempt_plan plan = StartPlan(true, 2);
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kTryAnotherTarget);
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotExecuted), next_step::kFail);
}

// Guards against using up the retry budget on failed connections, and against
// trying unreachable targets without limit.
TEST_F(AttemptPlanTest, FailedConnectionTakesNoToken) {
  attempt_plan plan = StartPlan(false, 1);
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kTryAnotherTarget);
  EXPECT_EQ(budget_.tokens(), 1.0);
  for (int attempt = 0; attempt < 2; ++attempt) {
    plan.OnStart();
    EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kTryAnotherTarget);
  }
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kRefuse);
}

// Guards against losing a target's error response when later attempts fail.
TEST_F(AttemptPlanTest, DeliversErrorResponseIfRetriesFail) {
  attempt_plan plan = StartPlan(true, 2);
  EXPECT_EQ(plan.OnEnd(attempt_end::kErrorResponse),
            next_step::kTryAnotherTarget);
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown),
            next_step::kDeliverErrorResponse);
}

// Guards against failing a request while its second attempt is in progress.
TEST_F(AttemptPlanTest, WaitsForOtherAttemptInProgress) {
  attempt_plan plan = StartPlan(true, 2);
  ASSERT_TRUE(plan.TryStartSecondAttempt());
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kWait);
  EXPECT_EQ(plan.OnEnd(attempt_end::kAnswered), next_step::kDeliverResponse);
}

// Guards against losing the token of a retry for which no target is left.
TEST_F(AttemptPlanTest, ReturnsUnusedToken) {
  attempt_plan plan = StartPlan(true, 2);
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotExecuted),
            next_step::kTryAnotherTarget);
  EXPECT_EQ(plan.OnNoTarget(), next_step::kRefuse);
  EXPECT_EQ(budget_.tokens(), 1.0);
}

TEST(OverdueAfterTest, LeavesTimeForSecondAttempt) {
  EXPECT_EQ(OverdueAfter(milliseconds(160), milliseconds(800)),
            milliseconds(400));
  EXPECT_EQ(OverdueAfter(milliseconds(1000), milliseconds(3000)),
            milliseconds(1700));
}

TEST(OverdueAfterTest, ExceedsUsualDuration) {
  EXPECT_EQ(OverdueAfter(milliseconds(1000), milliseconds(1000)),
            milliseconds(1500));
  EXPECT_EQ(OverdueAfter(milliseconds(1), milliseconds(1000)),
            milliseconds(100));
}

}  // namespace
}  // namespace bulrushshore

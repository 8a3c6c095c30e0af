#include "libraries/gateway/attempt_plan.h"

#include <optional>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

// Starts with one token.
class counted_permits : public retry_permits {
 public:
  bool TryTakeRetry(retry_cause cause) override {
    last_cause = cause;
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }
  void ReturnToken() override { tokens_ += 1.0; }
  double tokens() const { return tokens_; }

  std::optional<retry_cause> last_cause;

 private:
  double tokens_ = 1.0;
};

class AttemptPlanTest : public testing::Test {
 protected:
  attempt_plan StartPlan(bool is_idempotent, std::uint32_t max_attempts) {
    attempt_plan plan({is_idempotent, max_attempts}, permits_);
    plan.OnStart();
    return plan;
  }

  counted_permits permits_;
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
  EXPECT_EQ(permits_.tokens(), 1.0);
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
  attempt_plan plan({true, 3}, permits_);
  EXPECT_EQ(plan.NextAttemptRole(), attempt_role::kRepeatableFirst);
  plan.OnStart();
  EXPECT_EQ(plan.NextAttemptRole(), attempt_role::kRetry);
  EXPECT_EQ(plan.OnEnd(attempt_end::kErrorResponse),
            next_step::kTryAnotherTarget);
  EXPECT_EQ(plan.NextAttemptRole(), attempt_role::kRetry);
}

// Guards against slow attempts that use up the retries which failed attempts
// need.
TEST_F(AttemptPlanTest, StatesWhyARetryIsNeeded) {
  attempt_plan plan = StartPlan(true, 3);
  EXPECT_TRUE(plan.TryStartSecondAttempt());
  EXPECT_EQ(permits_.last_cause, retry_cause::kSlowAttempt);
  plan.OnStart();
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kWait);
  EXPECT_EQ(permits_.last_cause, retry_cause::kFailedAttempt);
}

// Guards against refusing a request because the addresses of two targets belong
// to other services now, and against sending it on without end.
TEST_F(AttemptPlanTest, WrongTargetsDoNotCountAsAttempts) {
  attempt_plan plan = StartPlan(false, 2);
  int retries = 0;
  while (plan.OnEnd(attempt_end::kWrongTarget) ==
         next_step::kTryAnotherTarget) {
    ++retries;
    plan.OnStart();
    permits_.ReturnToken();
    ASSERT_LT(retries, 10);
  }
  EXPECT_EQ(retries, 5);
}

// Guards against counting a failed connection as a sent request.
TEST_F(AttemptPlanTest, AttemptAfterFailedConnectionCountsAsFirst) {
  attempt_plan plan = StartPlan(true, 3);
  EXPECT_EQ(plan.OnEnd(attempt_end::kNotSent), next_step::kTryAnotherTarget);
  EXPECT_EQ(plan.NextAttemptRole(), attempt_role::kRepeatableFirst);
}

TEST_F(AttemptPlanTest, NonIdempotentRequestAvoidsFailingTargets) {
  const attempt_plan plan({false, 1}, permits_);
  EXPECT_EQ(plan.NextAttemptRole(), attempt_role::kOnceOnlyFirst);
}

// Guards against retries beyond max_attempts, and against taking a token for
// them.
TEST_F(AttemptPlanTest, MaxAttemptsLimitsRetries) {
  attempt_plan plan = StartPlan(true, 1);
  EXPECT_EQ(plan.OnEnd(attempt_end::kUnknown), next_step::kFail);
  EXPECT_EQ(permits_.tokens(), 1.0);
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
  EXPECT_EQ(permits_.tokens(), 1.0);
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
  EXPECT_EQ(permits_.tokens(), 1.0);
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

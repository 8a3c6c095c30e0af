#include "libraries/admission/retry_budget.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against retries that multiply the load of a full outage.
TEST(RetryBudgetTest, LimitsLoadAmplificationToOnePointOne) {
  retry_budget budget;
  int attempts = 0;
  for (int request = 0; request < 10'000; ++request) {
    budget.RecordFirstAttempt();
    ++attempts;
    for (int retry = 0; retry < 3 && budget.TryTakeRetry(); ++retry) {
      ++attempts;
    }
  }
  EXPECT_NEAR(attempts, 11'003, 1);
}

// Guards against a burst of retries after a long time without failures.
TEST(RetryBudgetTest, SavesAtMostTenTokens) {
  retry_budget budget;
  EXPECT_DOUBLE_EQ(budget.tokens(), 3.0);
  for (int request = 0; request < 1'000; ++request) {
    budget.RecordFirstAttempt();
  }
  int retries = 0;
  while (budget.TryTakeRetry()) {
    ++retries;
  }
  EXPECT_EQ(retries, 10);
}

// Guards against a service that runs out of retries at its usual error rate
// although the fleet's allowance for each window is not used up.
TEST(RetryBudgetTest, TimeEarnsTokensUpToTheMaximum) {
  constexpr time_point kStart{std::chrono::hours(1)};
  retry_budget budget({.tokens_per_first_attempt = 0.0,
                       .tokens_per_second = 0.5,
                       .maximum_tokens = 4.0,
                       .initial_tokens = 1.0});
  budget.Advance(kStart);
  EXPECT_DOUBLE_EQ(budget.tokens(), 1.0);
  budget.Advance(kStart + std::chrono::seconds(2));
  EXPECT_DOUBLE_EQ(budget.tokens(), 2.0);
  budget.Advance(kStart + std::chrono::seconds(60));
  EXPECT_DOUBLE_EQ(budget.tokens(), 4.0);
}

// Guards against more retries in a window than the allowance, which is
// the sum of the saved tokens and those added over time within the window.
TEST(RetryBudgetTest, RetriesInAWindowStayWithinTheAllowance) {
  constexpr time_point kStart{std::chrono::hours(1)};
  constexpr double kAllowance = 8.0;
  constexpr std::chrono::seconds kWindow(10);
  retry_budget budget({.tokens_per_first_attempt = 0.0,
                       .tokens_per_second = 0.4,
                       .maximum_tokens = 4.0,
                       .initial_tokens = 4.0});
  int retries = 0;
  for (std::chrono::milliseconds at{0}; at <= kWindow;
       at += std::chrono::milliseconds(20)) {
    budget.Advance(kStart + at);
    retries += budget.TryTakeRetry() ? 1 : 0;
  }
  EXPECT_LE(retries, kAllowance);
  EXPECT_GE(retries, kAllowance - 1.0);
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/admission/retry_budget.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against retries that multiply the load of a full outage.
TEST(RetryBudgetTest, AmplificationTendsToOnePointOne) {
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

// Guards against a burst of retries after a long healthy time.
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

}  // namespace
}  // namespace bulrushshore

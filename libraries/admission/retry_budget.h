#ifndef LIBRARIES_ADMISSION_RETRY_BUDGET_H_
#define LIBRARIES_ADMISSION_RETRY_BUDGET_H_

#include <optional>

#include "libraries/base/clock.h"

namespace bulrushshore {

struct retry_budget_options {
  double tokens_per_first_attempt = 0.1;
  // Earned with time, for services whose usual error rate alone needs retries.
  double tokens_per_second = 0.0;
  double maximum_tokens = 10.0;
  double initial_tokens = 3.0;
};

// Bounds the retries of one service on one host to a share of its first
// attempts and a number a second, so that retries cannot multiply the load of
// an outage. It never reads a clock. Not thread safe.
class retry_budget {
 public:
  explicit retry_budget(const retry_budget_options& options = {});

  // Adds the share of a token that a first attempt earns.
  void RecordFirstAttempt();

  // Adds the tokens that time has earned since the last call.
  void Advance(time_point now);

  // Takes a token for a retry; returns false if there is none.
  bool TryTakeRetry();

  // Gives back the token of a retry that was not started.
  void ReturnRetry();

  // Changes how many tokens can be saved, surplus ones are lost, and how many
  // time earns.
  void SetAllowance(double maximum, double per_second);

  double tokens() const { return tokens_; }

 private:
  void Add(double amount);

  retry_budget_options options_;
  double tokens_;
  std::optional<time_point> advanced_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_RETRY_BUDGET_H_

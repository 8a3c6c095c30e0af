#ifndef LIBRARIES_ADMISSION_RETRY_BUDGET_H_
#define LIBRARIES_ADMISSION_RETRY_BUDGET_H_

#include <optional>

#include "libraries/base/clock.h"

namespace bulrushshore {

struct retry_budget_options {
  double tokens_per_first_attempt = 0.1;
  // Added over time, for services that need retries even at their usual error
  // rate.
  double tokens_per_second = 0.0;
  double maximum_tokens = 10.0;
  double initial_tokens = 3.0;
};

// Limits the retries of one service on one host to a share of its first
// attempts plus a number per second, so that retries do not multiply the load
// during an outage. A token bucket: each retry costs one token. Callers pass
// the time; the class reads no clock. Not thread safe.
class retry_budget {
 public:
  explicit retry_budget(const retry_budget_options& options = {});

  // Adds the fraction of a token for a first attempt.
  void RecordFirstAttempt();

  // Adds the tokens for the time since the last call. The first call
  // only sets the start time.
  void Advance(time_point now);

  // Takes a token for a retry; returns false if there is none.
  bool TryTakeRetry();

  // Returns the token of a retry that was not started.
  void ReturnToken();

  // Changes the maximum number of tokens and the number added per second.
  // Tokens beyond the new maximum are discarded.
  void SetAllowance(double maximum, double per_second);

  double tokens() const { return tokens_; }

 private:
  void Add(double amount);

  retry_budget_options options_;
  double tokens_;
  std::optional<time_point> last_advance_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_RETRY_BUDGET_H_

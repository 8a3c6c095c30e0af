#ifndef LIBRARIES_ADMISSION_RETRY_BUDGET_H_
#define LIBRARIES_ADMISSION_RETRY_BUDGET_H_

namespace bulrushshore {

struct retry_budget_options {
  double tokens_per_first_attempt = 0.1;
  double maximum_tokens = 10.0;
  double initial_tokens = 3.0;
};

// Bounds the retries of one service on one host to a share of its first
// attempts, so that retries cannot multiply the load of an outage. Not thread
// safe.
class retry_budget {
 public:
  explicit retry_budget(const retry_budget_options& options = {});

  // Adds the share of a token that a first attempt earns.
  void RecordFirstAttempt();

  // Takes a token for a retry; returns false if there is none.
  bool TryTakeRetry();

  // Gives back the token of a retry that was not started.
  void ReturnRetry();

  // Changes how many tokens can be saved; surplus ones are lost.
  void SetMaximumTokens(double maximum);

  double tokens() const { return tokens_; }

 private:
  void Add(double amount);

  retry_budget_options options_;
  double tokens_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_RETRY_BUDGET_H_

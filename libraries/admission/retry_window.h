#ifndef LIBRARIES_ADMISSION_RETRY_WINDOW_H_
#define LIBRARIES_ADMISSION_RETRY_WINDOW_H_

#include <cstdint>
#include <deque>

#include "libraries/admission/retry_permits.h"
#include "libraries/base/clock.h"

namespace bulrushshore {

struct retry_window_options {
  // In a span of this length that ends with a retry, there are at most `ratio`
  // times as many retries as first attempts, plus the allowance.
  duration window = std::chrono::seconds(10);
  double ratio = 0.2;
  // Allowance at the start. It grows to the value that SetAllowance() sets
  // within one window, so that a host that restarts does not spend the
  // allowance of a window twice.
  double initial_allowance = 1.0;
  // Share of the retries that may replace attempts that are only slow. The rest
  // is kept for attempts that have failed: these are certain to need a retry,
  // and under high load most attempts are slow.
  double slow_attempt_share = 0.5;
};

// Limits the retries of one service on one host by counting first attempts and
// retries in a sliding window. Unlike a token bucket it lets a host spend all
// of a window's retries at once, which the first seconds of a failure need, and
// still keeps to the limit in every window. Callers pass the time; the class
// reads no clock. Not thread safe.
class retry_window : public retry_permits {
 public:
  // `now` is the start of the first window.
  retry_window(const retry_window_options& options, time_point now);

  // Moves the window to `now`. Must be called before the methods below.
  void Advance(time_point now);

  void RecordFirstAttempt();
  bool TryTakeRetry(retry_cause cause) override;
  void ReturnToken() override;

  // Sets the allowance. A lower one takes effect at once.
  // Precondition: `allowance` is 0 or more.
  void SetAllowance(double allowance);

 private:
  // The attempts within one interval of the window.
  struct interval {
    time_point start;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };

  double Limit() const;
  interval& Current();

  retry_window_options options_;
  time_point now_;
  std::deque<interval> intervals_;
  std::uint32_t first_attempts_ = 0;
  std::uint32_t retries_ = 0;
  double allowance_;
  double final_allowance_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_RETRY_WINDOW_H_

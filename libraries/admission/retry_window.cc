#include "libraries/admission/retry_window.h"

#include <algorithm>
#include <cassert>

namespace bulrushshore {
namespace {

// Number of intervals that a window is divided into.
constexpr int kIntervals = 40;

}  // namespace

retry_window::retry_window(const retry_window_options& options, time_point now)
    : options_(options),
      now_(now),
      allowance_(options.initial_allowance),
      final_allowance_(options.initial_allowance) {}

void retry_window::Advance(time_point now) {
  const double elapsed = std::chrono::duration<double>(now - now_) /
                         std::chrono::duration<double>(options_.window);
  allowance_ = std::min(final_allowance_,
                        allowance_ + std::max(0.0, elapsed) * final_allowance_);
  now_ = std::max(now_, now);
  // An interval counts until its end has left the window.
  const time_point oldest =
      now_ - options_.window - options_.window / kIntervals;
  while (!intervals_.empty() && intervals_.front().start <= oldest) {
    first_attempts_ -= intervals_.front().first_attempts;
    retries_ -= intervals_.front().retries;
    intervals_.pop_front();
  }
}

void retry_window::RecordFirstAttempt() {
  ++Current().first_attempts;
  ++first_attempts_;
}

bool retry_window::TryTakeRetry(retry_cause cause) {
  const double share =
      cause == retry_cause::kSlowAttempt ? options_.slow_attempt_share : 1.0;
  if (static_cast<double>(retries_) + 1.0 > Limit() * share) {
    return false;
  }
  ++Current().retries;
  ++retries_;
  return true;
}

void retry_window::ReturnToken() {
  const auto found = std::find_if(
      intervals_.rbegin(), intervals_.rend(),
      [](const interval& candidate) { return candidate.retries > 0; });
  // The token may have left the window since it was taken.
  if (found != intervals_.rend()) {
    --found->retries;
    --retries_;
  }
}

void retry_window::SetAllowance(double allowance) {
  assert(allowance >= 0.0);
  final_allowance_ = allowance;
  allowance_ = std::min(allowance_, allowance);
}

double retry_window::Limit() const {
  return options_.ratio * static_cast<double>(first_attempts_) + allowance_;
}

retry_window::interval& retry_window::Current() {
  if (intervals_.empty() ||
      now_ - intervals_.back().start >= options_.window / kIntervals) {
    intervals_.push_back({.start = now_});
  }
  return intervals_.back();
}

}  // namespace bulrushshore

#include "libraries/admission/retry_budget.h"

#include <algorithm>

namespace bulrushshore {
namespace {

// In floating point, ten additions of 0.1 sum up to slightly less than 1.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

retry_budget::retry_budget(const retry_budget_options& options)
    : options_(options), tokens_(options.initial_tokens) {}

void retry_budget::RecordFirstAttempt() {
  Add(options_.tokens_per_first_attempt);
}

void retry_budget::Advance(time_point now) {
  if (last_advance_ && now > *last_advance_) {
    Add(options_.tokens_per_second *
        std::chrono::duration<double>(now - *last_advance_).count());
  }
  last_advance_ = now;
}

bool retry_budget::TryTakeRetry() {
  if (tokens_ + kRoundingTolerance < 1.0) {
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1.0);
  return true;
}

void retry_budget::ReturnToken() {
  Add(1.0);
}

void retry_budget::SetAllowance(double maximum, double per_second) {
  options_.maximum_tokens = maximum;
  options_.tokens_per_second = per_second;
  tokens_ = std::min(tokens_, maximum);
}

void retry_budget::Add(double amount) {
  tokens_ = std::min(options_.maximum_tokens, tokens_ + amount);
}

}  // namespace bulrushshore

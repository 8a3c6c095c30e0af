#include "libraries/health/kind_statistics.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bulrushshore {
namespace {

// A target with less evidence than this does not enter the reference.
constexpr double kMinimumPeerSamples = 2.0;

template <typename Value>
Value TakeMedian(std::vector<Value>& values) {
  const auto middle =
      std::next(values.begin(), static_cast<std::ptrdiff_t>(values.size() / 2));
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void outcome_counts::Add(bool is_failure,
                         bool is_slow,
                         time_point now,
                         duration time_constant) {
  const double total = Total(now, time_constant);
  const double kept = total_ > 0.0 ? total / total_ : 0.0;
  total_ = total + 1.0;
  failures_ = kept * failures_ + (is_failure ? 1.0 : 0.0);
  slow_ = kept * slow_ + (is_slow ? 1.0 : 0.0);
  updated_ = now;
}

double outcome_counts::Total(time_point now, duration time_constant) const {
  if (total_ == 0.0 || now <= updated_) {
    return total_;
  }
  const double age = std::chrono::duration<double>(now - updated_).count();
  const double scale = std::chrono::duration<double>(time_constant).count();
  return total_ * std::exp(-age / scale);
}

void duration_window::Add(duration elapsed) {
  samples_[added_ % kCapacity] = elapsed;
  ++added_;
  if (added_ < kMinimumSamples || added_ % kUpdateInterval != 0) {
    return;
  }
  std::array<duration, kCapacity> sorted = samples_;
  const std::size_t count = std::min<std::uint64_t>(added_, kCapacity);
  const auto begin = sorted.begin();
  const auto end = std::next(begin, static_cast<std::ptrdiff_t>(count));
  const auto middle = std::next(begin, static_cast<std::ptrdiff_t>(count / 2));
  std::nth_element(begin, middle, end);
  median_ = *middle;
}

kind_statistics::kind_statistics(duration time_constant)
    : time_constant_(time_constant) {}

peer_reference kind_statistics::Reference(std::string_view target,
                                          time_point now) const {
  std::vector<double> failure_shares;
  std::vector<double> slow_shares;
  std::vector<duration> medians;
  failure_shares.reserve(targets_.size());
  slow_shares.reserve(targets_.size());
  medians.reserve(targets_.size());
  for (const std::map<std::string, target_samples, std::less<>>::value_type&
           entry : targets_) {
    if (entry.first == target) {
      continue;
    }
    const target_samples& samples = entry.second;
    if (samples.outcomes.Total(now, time_constant_) >= kMinimumPeerSamples) {
      failure_shares.push_back(samples.outcomes.failure_share());
      slow_shares.push_back(samples.outcomes.slow_share());
    }
    const std::optional<duration> median = samples.durations.Median();
    if (median) {
      medians.push_back(*median);
    }
  }
  peer_reference reference;
  if (!failure_shares.empty()) {
    reference.failure_share = TakeMedian(failure_shares);
    reference.slow_share = TakeMedian(slow_shares);
  }
  if (!medians.empty()) {
    reference.median_duration = TakeMedian(medians);
  }
  return reference;
}

void kind_statistics::AddOutcome(std::string_view target,
                                 bool is_failure,
                                 bool is_slow,
                                 time_point now) {
  Samples(target).outcomes.Add(is_failure, is_slow, now, time_constant_);
}

void kind_statistics::AddDuration(std::string_view target, duration elapsed) {
  Samples(target).durations.Add(elapsed);
}

void kind_statistics::Forget(std::string_view target) {
  const auto position = targets_.find(target);
  if (position != targets_.end()) {
    targets_.erase(position);
  }
}

kind_statistics::target_samples& kind_statistics::Samples(
    std::string_view target) {
  const auto position = targets_.find(target);
  if (position != targets_.end()) {
    return position->second;
  }
  return targets_[std::string(target)];
}

}  // namespace bulrushshore

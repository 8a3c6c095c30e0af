#include "utilities/caller_tool/latency_histogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bulrushshore {
namespace {

// Neighbouring bin edges differ by 0.5%: exp(ln(1e9) / 4145).
constexpr unsigned kBins = 4145;
constexpr double kLowestMicroseconds = 1.0;
constexpr double kHighestMicroseconds = 1e9;

double ToMicroseconds(duration value) {
  return std::chrono::duration<double, std::micro>(value).count();
}

duration FromMicroseconds(double value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::micro>(value));
}

}  // namespace

latency_histogram::latency_histogram()
    : bins_(boost::histogram::make_histogram(
          boost::histogram::axis::
              regular<double, boost::histogram::axis::transform::log>(
                  kBins,
                  kLowestMicroseconds,
                  kHighestMicroseconds))) {}

void latency_histogram::Add(duration latency) {
  bins_(std::max(ToMicroseconds(latency), kLowestMicroseconds));
  ++count_;
  maximum_ = std::max(maximum_, latency);
}

void latency_histogram::Merge(const latency_histogram& other) {
  bins_ += other.bins_;
  count_ += other.count_;
  maximum_ = std::max(maximum_, other.maximum_);
}

duration latency_histogram::Percentile(double percent) const {
  assert(percent > 0.0 && percent <= 100.0);
  constexpr double kPercent = 100.0;
  const double wanted =
      std::ceil(static_cast<double>(count_) * percent / kPercent);
  double seen = 0.0;
  for (int index = 0; index < bins_.axis(0).size(); ++index) {
    seen += static_cast<double>(bins_.at(index));
    if (count_ > 0 && seen >= wanted) {
      const double middle = bins_.axis(0).value(index + 0.5);
      return std::min(FromMicroseconds(middle), maximum_);
    }
  }
  return maximum_;
}

}  // namespace bulrushshore

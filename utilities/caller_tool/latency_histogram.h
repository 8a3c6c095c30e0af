#ifndef UTILITIES_CALLER_TOOL_LATENCY_HISTOGRAM_H_
#define UTILITIES_CALLER_TOOL_LATENCY_HISTOGRAM_H_

#include <cstdint>

#include <boost/histogram.hpp>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Counts latencies from 1 us to 1000 s with a relative error below 0.3%. Not
// thread safe.
class latency_histogram {
 public:
  latency_histogram();

  void Add(duration latency);
  void Merge(const latency_histogram& other);

  std::uint64_t count() const { return count_; }

  // Returns the smallest latency, within the relative error, that at least
  // `percent` per cent of the latencies do not exceed; zero without any.
  // Precondition: 0 < percent <= 100.
  duration Percentile(double percent) const;

  duration maximum() const { return maximum_; }

 private:
  using bins = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::
          regular<double, boost::histogram::axis::transform::log>()));

  bins bins_;
  std::uint64_t count_ = 0;
  duration maximum_{};
};

}  // namespace bulrushshore

#endif  // UTILITIES_CALLER_TOOL_LATENCY_HISTOGRAM_H_

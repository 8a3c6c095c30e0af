#ifndef LIBRARIES_TELEMETRY_METRICS_H_
#define LIBRARIES_TELEMETRY_METRICS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace bulrushshore {

// A number that only grows. Thread safe.
class counter {
 public:
  void Increment(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// A number that goes up and down. Thread safe.
class gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// Counts observations by size, with fixed bounds that suit latencies from one
// millisecond to half a minute. Thread safe.
class histogram {
 public:
  // Upper bounds in seconds; the last bucket has none.
  static constexpr std::array<double, 13> kBounds = {
      0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1,
      0.25,  0.5,   1.0,   2.5,  5.0,   10.0};

  void Observe(double seconds);

  // Returns how many observations were at most the bound with this index, and
  // all of them for the index behind the last bound.
  std::uint64_t CumulativeCount(std::size_t index) const;

  double sum_seconds() const {
    return static_cast<double>(
               sum_microseconds_.load(std::memory_order_relaxed)) /
           kMicrosecondsPerSecond;
  }

 private:
  static constexpr double kMicrosecondsPerSecond = 1e6;

  std::array<std::atomic<std::uint64_t>, kBounds.size() + 1> buckets_{};
  std::atomic<std::uint64_t> sum_microseconds_{0};
};

using metric_labels = std::map<std::string, std::string>;

// Holds the metrics of one process. Thread safe.
class metric_registry {
 public:
  // Returns the counter with this name and these labels, creating it at the
  // first call. The reference stays valid as long as the registry lives.
  // Precondition: `name` is a valid Prometheus name and not that of a gauge.
  counter& GetCounter(std::string_view name,
                      std::string_view help,
                      const metric_labels& labels = {});

  // As GetCounter(), for gauges.
  gauge& GetGauge(std::string_view name,
                  std::string_view help,
                  const metric_labels& labels = {});

  // As GetCounter(), for histograms.
  histogram& GetHistogram(std::string_view name,
                          std::string_view help,
                          const metric_labels& labels = {});

  // Returns all values in the Prometheus text exposition format 0.0.4.
  std::string RenderText() const;

 private:
  template <typename Metric>
  struct family {
    std::string help;
    std::map<std::string, Metric> metrics;
  };

  template <typename Metric>
  static Metric& FindOrAdd(std::map<std::string, family<Metric>>& families,
                           std::string_view name,
                           std::string_view help,
                           const metric_labels& labels);

  using histogram_families = std::map<std::string, family<histogram>>;

  mutable std::mutex mutex_;
  std::map<std::string, family<counter>> counters_;
  std::map<std::string, family<gauge>> gauges_;
  histogram_families histograms_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TELEMETRY_METRICS_H_

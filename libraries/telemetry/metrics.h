#ifndef LIBRARIES_TELEMETRY_METRICS_H_
#define LIBRARIES_TELEMETRY_METRICS_H_

#include <atomic>
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

using metric_labels = std::map<std::string, std::string>;

// Holds the counters and gauges of one process. Thread safe.
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

  mutable std::mutex mutex_;
  std::map<std::string, family<counter>> counters_;
  std::map<std::string, family<gauge>> gauges_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TELEMETRY_METRICS_H_

#ifndef LIBRARIES_HEALTH_KIND_STATISTICS_H_
#define LIBRARIES_HEALTH_KIND_STATISTICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Counts of outcomes that forget exponentially. Not thread safe.
class outcome_counts {
 public:
  void Add(bool is_failure,
           bool is_slow,
           time_point now,
           duration time_constant);

  // Returns the number of outcomes, weighted by age.
  double Total(time_point now, duration time_constant) const;

  // Return shares of all outcomes; 0 without any.
  double failure_share() const { return Share(failures_); }
  double slow_share() const { return Share(slow_); }

 private:
  double Share(double part) const { return total_ > 0.0 ? part / total_ : 0.0; }

  double total_ = 0.0;
  double failures_ = 0.0;
  double slow_ = 0.0;
  time_point updated_;
};

// The newest durations of one target and kind. Not thread safe.
class duration_window {
 public:
  void Add(duration elapsed);

  // Returns the median, or nothing below the minimum number of samples.
  std::optional<duration> Median() const { return median_; }

 private:
  static constexpr std::size_t kCapacity = 32;
  static constexpr std::size_t kMinimumSamples = 8;
  // The median is computed again after this number of new samples.
  static constexpr std::size_t kUpdateInterval = 8;

  std::array<duration, kCapacity> samples_{};
  std::uint64_t added_ = 0;
  std::optional<duration> median_;
};

// What the other targets of the service experienced for the same kind of work.
struct peer_reference {
  // Medians over the other targets, so that a minority of faulty ones does not
  // move the reference.
  double failure_share = 0.0;
  double slow_share = 0.0;
  std::optional<duration> median_duration;
};

// Outcomes and durations of one kind of work by target. Not thread safe.
class kind_statistics {
 public:
  explicit kind_statistics(duration time_constant);

  // Returns the reference for `target`, made from the other targets.
  peer_reference Reference(std::string_view target, time_point now) const;

  void AddOutcome(std::string_view target,
                  bool is_failure,
                  bool is_slow,
                  time_point now);
  void AddDuration(std::string_view target, duration elapsed);
  void Forget(std::string_view target);

 private:
  struct target_samples {
    outcome_counts outcomes;
    duration_window durations;
  };

  target_samples& Samples(std::string_view target);

  duration time_constant_;
  std::map<std::string, target_samples, std::less<>> targets_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HEALTH_KIND_STATISTICS_H_

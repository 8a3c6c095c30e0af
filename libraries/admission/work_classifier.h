#ifndef LIBRARIES_ADMISSION_WORK_CLASSIFIER_H_
#define LIBRARIES_ADMISSION_WORK_CLASSIFIER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/clock.h"

namespace bulrushshore {

struct work_classifier_options {
  // A kind becomes long above `long_ratio` times the typical duration, and
  // short again at or below `short_ratio` times it. The gap prevents a kind
  // near the threshold from changing back and forth.
  double long_ratio = 4.0;
  double short_ratio = 3.0;
  // Number of completed requests of a kind before it is classified.
  std::uint32_t minimum_samples = 10;
  // Weight of a new duration in the moving average of its kind and of all work.
  double smoothing = 0.05;
};

// Classifies the kinds of work of one service as short or long by their
// measured durations. A kind that is not classified yet counts as short. Not
// thread safe.
class work_classifier {
 public:
  explicit work_classifier(const work_classifier_options& options = {});

  // Records the duration of a completed request.
  void Record(std::string_view kind, duration elapsed);

  bool IsLong(std::string_view kind) const;

  // Returns the average duration of the kind, or of all work if the kind has
  // not been recorded yet; nothing before the first request.
  std::optional<duration> ExpectedDuration(std::string_view kind) const;

  // Returns the average duration of the kind, or nothing until it has enough
  // samples to be classified.
  std::optional<duration> DurationIfClassified(std::string_view kind) const;

  // Returns the average duration of all work, or nothing before the first
  // request.
  std::optional<duration> MeanDuration() const;

 private:
  struct kind_record {
    // Average duration in seconds.
    double mean = 0.0;
    // Share of this kind among the recent requests.
    double share = 0.0;
    std::uint64_t samples = 0;
    bool is_long = false;
  };

  // Returns the typical duration in seconds. Precondition: a request was
  // recorded.
  double TypicalDuration() const;
  // Updates the class of each kind that has enough samples.
  void Classify();

  work_classifier_options options_;
  // Average duration of all work in seconds.
  double mean_ = 0.0;
  std::uint64_t samples_ = 0;
  std::map<std::string, kind_record, std::less<>> kinds_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_WORK_CLASSIFIER_H_

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
  // A kind becomes long above this multiple of the typical duration, and short
  // again below the lower one.
  double long_ratio = 4.0;
  double short_ratio = 3.0;
  // Requests of a kind before it is classified.
  std::uint32_t minimum_samples = 10;
  // Share of a new duration in the average of its kind.
  double smoothing = 0.05;
};

// Learns from measured durations which kinds of work of one service are long.
// Unknown kinds are short. Not thread safe.
class work_classifier {
 public:
  explicit work_classifier(const work_classifier_options& options = {});

  // Enters the duration of a completed request.
  void Record(std::string_view kind, duration elapsed);

  bool IsLong(std::string_view kind) const;

  // Returns the average duration of the kind, or of all work if the kind is
  // not known yet; nothing before the first request.
  std::optional<duration> ExpectedDuration(std::string_view kind) const;

  // Returns the average duration of the kind, or nothing before it was seen
  // often enough to be classified.
  std::optional<duration> KnownDuration(std::string_view kind) const;

  // Returns the average duration of all work.
  std::optional<duration> MeanDuration() const;

 private:
  struct kind_record {
    double mean = 0.0;
    // Share of this kind in the recent requests.
    double share = 0.0;
    std::uint64_t samples = 0;
    bool is_long = false;
  };

  double TypicalDuration() const;
  void Classify();

  work_classifier_options options_;
  double mean_ = 0.0;
  std::uint64_t samples_ = 0;
  std::map<std::string, kind_record, std::less<>> kinds_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_WORK_CLASSIFIER_H_

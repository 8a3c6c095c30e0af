#ifndef STAND_INS_TARGET_WORK_DURATION_H_
#define STAND_INS_TARGET_WORK_DURATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>

#include "libraries/base/result.h"

namespace bulrushshore {

// A log-normal distribution of work times.
struct work_distribution {
  double median_ms = 5.0;
  // Standard deviation of the logarithm; 0 for a constant time.
  double sigma = 0.0;
};

using work_distributions =
    std::map<std::string, work_distribution, std::less<>>;

// Parses "KIND:MEDIAN_MS:SIGMA,...", for example "lookup:5:0.5,match:900:0.8".
// Thread safe.
result<work_distributions> ParseWorkDistributions(std::string_view text);

// Draws work times; the same seed gives the same sequence. Thread safe.
class work_duration {
 public:
  // The kind "default" applies to kinds that are not named.
  work_duration(work_distributions distributions, std::uint64_t seed);

  std::chrono::microseconds Draw(std::string_view kind);

 private:
  const work_distributions distributions_;
  std::mutex mutex_;
  std::mt19937_64 engine_;
};

}  // namespace bulrushshore

#endif  // STAND_INS_TARGET_WORK_DURATION_H_

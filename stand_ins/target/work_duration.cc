#include "stand_ins/target/work_duration.h"

#include <cmath>
#include <cstdio>
#include <sstream>

namespace bulrushshore {
namespace {

constexpr std::string_view kDefaultKind = "default";

result<work_distribution> ParseDistribution(const std::string& numbers) {
  work_distribution parsed;
  char rest = '\0';
  const int fields = std::sscanf(numbers.c_str(), "%lf:%lf%c",
                                 &parsed.median_ms, &parsed.sigma, &rest);
  if (fields != 2 || parsed.median_ms < 0.0 || parsed.sigma < 0.0) {
    return error{error_code::kInvalidArgument,
                 "expected KIND:MEDIAN_MS:SIGMA, got \"" + numbers + "\""};
  }
  return parsed;
}

}  // namespace

result<work_distributions> ParseWorkDistributions(std::string_view text) {
  work_distributions distributions;
  std::istringstream stream{std::string(text)};
  std::string entry;
  while (std::getline(stream, entry, ',')) {
    const std::size_t colon = entry.find(':');
    const std::string numbers =
        colon == std::string::npos ? "" : entry.substr(colon + 1);
    const result<work_distribution> parsed = ParseDistribution(numbers);
    if (!IsOk(parsed)) {
      return ErrorOf(parsed);
    }
    distributions[entry.substr(0, colon)] = ValueOf(parsed);
  }
  return distributions;
}

work_duration::work_duration(work_distributions distributions,
                             std::uint64_t seed)
    : distributions_(std::move(distributions)), engine_(seed) {}

std::chrono::microseconds work_duration::Draw(std::string_view kind) {
  auto found = distributions_.find(kind);
  if (found == distributions_.end()) {
    found = distributions_.find(kDefaultKind);
  }
  const work_distribution distribution =
      found == distributions_.end() ? work_distribution{} : found->second;
  if (distribution.median_ms <= 0.0) {
    return std::chrono::microseconds::zero();
  }
  constexpr double kMicrosecondsPerMs = 1000.0;
  const std::lock_guard<std::mutex> lock(mutex_);
  std::lognormal_distribution<double> draw(std::log(distribution.median_ms),
                                           distribution.sigma);
  return std::chrono::microseconds(
      static_cast<std::int64_t>(draw(engine_) * kMicrosecondsPerMs));
}

}  // namespace bulrushshore

#include "libraries/admission/work_classifier.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bulrushshore {
namespace {

// The shares of the kinds adapt slowly, so that a burst of one kind does not
// change the classes of the others.
constexpr double kShareSmoothing = 0.005;

// Returns the exponential moving average after `value`, the sample with number
// `samples`. The first samples are averaged evenly.
double Smooth(double average,
              double value,
              double smoothing,
              std::uint64_t samples) {
  const double share = std::max(smoothing, 1.0 / static_cast<double>(samples));
  return average + share * (value - average);
}

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

work_classifier::work_classifier(const work_classifier_options& options)
    : options_(options) {}

void work_classifier::Record(std::string_view kind, duration elapsed) {
  auto position = kinds_.find(kind);
  if (position == kinds_.end()) {
    position = kinds_.emplace(std::string(kind), kind_record{}).first;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  kind_record& record = position->second;
  ++record.samples;
  record.mean =
      Smooth(record.mean, seconds, options_.smoothing, record.samples);
  ++samples_;
  mean_ = Smooth(mean_, seconds, options_.smoothing, samples_);
  for (std::map<std::string, kind_record, std::less<>>::value_type& entry :
       kinds_) {
    const double observed = &entry.second == &record ? 1.0 : 0.0;
    entry.second.share =
        Smooth(entry.second.share, observed, kShareSmoothing, samples_);
  }
  Classify();
}

bool work_classifier::IsLong(std::string_view kind) const {
  const auto position = kinds_.find(kind);
  return position != kinds_.end() && position->second.is_long;
}

std::optional<duration> work_classifier::ExpectedDuration(
    std::string_view kind) const {
  const auto position = kinds_.find(kind);
  if (position != kinds_.end()) {
    return FromSeconds(position->second.mean);
  }
  return MeanDuration();
}

std::optional<duration> work_classifier::DurationIfClassified(
    std::string_view kind) const {
  const auto position = kinds_.find(kind);
  if (position == kinds_.end() ||
      position->second.samples < options_.minimum_samples) {
    return std::nullopt;
  }
  return FromSeconds(position->second.mean);
}

std::optional<duration> work_classifier::MeanDuration() const {
  if (samples_ == 0) {
    return std::nullopt;
  }
  return FromSeconds(mean_);
}

// Returns the weighted median of the kinds' average durations. The weight of a
// kind is its share of the recent requests.
double work_classifier::TypicalDuration() const {
  std::vector<std::pair<double, double>> means;
  for (const std::map<std::string, kind_record, std::less<>>::value_type&
           entry : kinds_) {
    means.emplace_back(entry.second.mean, entry.second.share);
  }
  std::sort(means.begin(), means.end());
  double cumulative_share = 0.0;
  for (const std::pair<double, double>& mean : means) {
    cumulative_share += mean.second;
    if (cumulative_share >= 0.5) {
      return mean.first;
    }
  }
  return means.back().first;
}

void work_classifier::Classify() {
  const double typical = TypicalDuration();
  for (std::map<std::string, kind_record, std::less<>>::value_type& entry :
       kinds_) {
    kind_record& record = entry.second;
    if (record.samples < options_.minimum_samples) {
      continue;
    }
    const double ratio =
        record.is_long ? options_.short_ratio : options_.long_ratio;
    record.is_long = record.mean > ratio * typical;
  }
}

}  // namespace bulrushshore

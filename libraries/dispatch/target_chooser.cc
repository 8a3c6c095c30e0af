#include "libraries/dispatch/target_chooser.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace bulrushshore {
namespace {

std::unique_ptr<target_selector> MakeKnownSelector(std::string_view name) {
  result<std::unique_ptr<target_selector>> made = MakeTargetSelector(name);
  assert(IsOk(made));
  return TakeValue(std::move(made));
}

bool MayRun(const target_entry& entry, const work_class& work, time_point now) {
  if (!entry.limit.Allows(entry.in_flight, now)) {
    return false;
  }
  return !work.is_long || !work.is_limited ||
         2 * entry.long_in_flight < entry.registered.slots;
}

// Other hosts use the same targets, so that the part of a target's slots that
// this host may use is smaller than the target. Long work therefore also stays
// below half of what the targets in use bear from this host.
bool HasRoomForLongWork(const target_table& targets,
                        const outlier_detector& detector,
                        time_point now) {
  double capacity = 0.0;
  std::uint32_t long_in_flight = 0;
  for (const target_table::entry_map::value_type& entry : targets.entries()) {
    capacity +=
        detector.Health(entry.first, now).weight * entry.second.limit.limit();
    long_in_flight += entry.second.long_in_flight;
  }
  return long_in_flight == 0 || 2.0 * (long_in_flight + 1) <= capacity;
}

}  // namespace

target_chooser::target_chooser(std::string_view selector,
                               std::string local_zone,
                               std::unique_ptr<random_source> random)
    : local_zone_(std::move(local_zone)),
      random_(std::move(random)),
      selector_(MakeKnownSelector(selector)) {}

target_choice target_chooser::Choose(const acquire_request& request,
                                     const work_class& work,
                                     target_table& targets,
                                     const outlier_detector& detector,
                                     time_point now) {
  target_entry* const trial = FindTrial(request, targets, detector, now);
  if (trial != nullptr) {
    return {trial, true};
  }
  loads_.clear();
  candidates_.clear();
  if (work.is_long && work.is_limited &&
      !HasRoomForLongWork(targets, detector, now)) {
    return {};
  }
  for (target_table::entry_map::value_type& entry : targets.entries()) {
    target_entry& candidate = entry.second;
    if (!MayRun(candidate, work, now) || IsExcluded(request, entry.first)) {
      continue;
    }
    const double weight = detector.Health(entry.first, now).weight;
    if (weight <= 0.0) {
      continue;
    }
    loads_.push_back({std::max<std::uint32_t>(1, candidate.registered.slots),
                      candidate.in_flight, candidate.reported_load, weight,
                      candidate.registered.zone == local_zone_});
    candidates_.push_back(&candidate);
  }
  const std::optional<std::size_t> choice = selector_->Choose(loads_, *random_);
  return {choice ? candidates_[*choice] : nullptr, false};
}

target_entry* target_chooser::FindTrial(const acquire_request& request,
                                        target_table& targets,
                                        const outlier_detector& detector,
                                        time_point now) const {
  // A request that already failed once is not risked again.
  if (request.attempt > 0) {
    return nullptr;
  }
  for (target_table::entry_map::value_type& entry : targets.entries()) {
    target_entry& candidate = entry.second;
    if (!candidate.has_trial_in_flight && detector.NeedsTrial(entry.first) &&
        candidate.limit.Allows(candidate.in_flight, now) &&
        !IsExcluded(request, entry.first)) {
      return &candidate;
    }
  }
  return nullptr;
}

bool IsExcluded(const acquire_request& request, std::string_view target) {
  return std::find(request.excluded_targets.begin(),
                   request.excluded_targets.end(),
                   target) != request.excluded_targets.end();
}

}  // namespace bulrushshore

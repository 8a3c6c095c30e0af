#include "libraries/placement/target_chooser.h"

#include <algorithm>
#include <cmath>

namespace bulrushshore {
namespace {

// The load of a target is estimated as this host's requests in flight times the
// number of hosts. The multiplier is capped, because with many hosts a single
// request would make a target look fully loaded.
constexpr double kMaxLoadScale = 3.0;

}  // namespace

zone_weights ComputeZoneWeights(std::size_t local,
                                std::size_t total,
                                std::size_t zone_count,
                                const target_chooser_options& options) {
  if (local == 0 || local >= total || zone_count <= 1) {
    return {};
  }
  const double even_share =
      static_cast<double>(local) / static_cast<double>(total);
  const double local_share =
      std::min(1.0, options.max_local_share_multiple * even_share *
                        static_cast<double>(zone_count));
  const double remote =
      (1.0 - local_share) / static_cast<double>(total - local);
  const double even = 1.0 / static_cast<double>(total);
  return {local_share / static_cast<double>(local),
          std::max(remote, options.remote_share * even)};
}

target_chooser::target_chooser(const target_chooser_options& options,
                               random_source& random)
    : options_(options), random_(random) {}

std::optional<std::size_t> target_chooser::Choose(
    std::span<const registered_target> targets,
    const suspicion_tracker& evidence,
    const placement_request& request) {
  std::vector<candidate> candidates =
      BuildCandidates(targets, evidence, request);
  const std::size_t resting_count = static_cast<std::size_t>(
      std::count_if(targets.begin(), targets.end(),
                    [&request](const registered_target& target) {
                      return IsResting(target, request);
                    }));
  ApplyLoad(candidates);
  ExcludeSuspected(targets.size(), resting_count, candidates);
  double total = 0.0;
  for (const candidate& entry : candidates) {
    total += entry.weight;
  }
  double rest = random_.UniformReal() * total;
  for (const candidate& entry : candidates) {
    rest -= entry.weight;
    if (rest < 0.0) {
      return entry.index;
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates.back().index;
}

std::vector<target_chooser::candidate> target_chooser::BuildCandidates(
    std::span<const registered_target> targets,
    const suspicion_tracker& evidence,
    const placement_request& request) const {
  const std::size_t local = static_cast<std::size_t>(std::count_if(
      targets.begin(), targets.end(), [this](const registered_target& target) {
        return target.entry.zone == view_.zone;
      }));
  const zone_weights zones =
      ComputeZoneWeights(local, targets.size(), view_.zone_count, options_);
  std::vector<candidate> candidates;
  candidates.reserve(targets.size());
  for (std::size_t index = 0; index < targets.size(); ++index) {
    const registered_target& target = targets[index];
    if (std::find(request.excluded_ids.begin(), request.excluded_ids.end(),
                  target.entry.id) != request.excluded_ids.end() ||
        IsResting(target, request)) {
      continue;
    }
    candidate added;
    added.index = index;
    const suspicion_tracker::target_key key{target.entry.id,
                                            target.entry.started_at_unix_ms};
    const suspicion_tracker::target_standing standing =
        evidence.Standing(key, request.is_cautious, request.now);
    added.suspicion = standing.suspicion;
    added.load_weight =
        LoadWeight(standing.requests_in_flight, target.entry.slots);
    added.weight =
        static_cast<double>(target.entry.slots) *
        (target.entry.zone == view_.zone ? zones.local : zones.remote) *
        SuspicionWeight(added.suspicion, request);
    if (request.is_cautious && standing.has_recent_success) {
      added.weight *= options_.recent_success_factor;
    }
    if (request.now < target.warm_until) {
      added.weight *= options_.warm_up_share;
    }
    candidates.push_back(added);
  }
  return candidates;
}

bool target_chooser::IsResting(const registered_target& target,
                               const placement_request& request) {
  return request.rests &&
         request.rests->RestingUntil(
             {target.entry.id, target.entry.started_at_unix_ms}, request.now);
}

void target_chooser::ExcludeSuspected(
    std::size_t target_count,
    std::size_t resting_count,
    std::vector<candidate>& candidates) const {
  const std::size_t above_floor = static_cast<std::size_t>(std::floor(
      static_cast<double>(target_count) * (1.0 - options_.floor_share) + 1e-9));
  const std::size_t spare = above_floor - std::min(above_floor, resting_count);
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const candidate& left, const candidate& right) {
                     return left.suspicion < right.suspicion;
                   });
  for (std::size_t excluded = 0; excluded < spare; ++excluded) {
    if (candidates.size() <= 1 ||
        candidates.back().suspicion < options_.exclusion_suspicion) {
      return;
    }
    candidates.pop_back();
  }
}

double target_chooser::SuspicionWeight(double suspicion,
                                       const placement_request& request) const {
  const double factor = request.is_cautious
                            ? options_.suspicion_factor
                            : options_.non_cautious_suspicion_factor;
  const double weight = 1.0 / (1.0 + factor * suspicion * suspicion);
  return request.must_use_floor ? std::max(options_.minimum_floor_share, weight)
                                : weight;
}

void target_chooser::ApplyLoad(std::vector<candidate>& candidates) const {
  double weights = 0.0;
  double loaded_weights = 0.0;
  for (const candidate& entry : candidates) {
    if (entry.suspicion < options_.exclusion_suspicion) {
      weights += entry.weight;
      loaded_weights += entry.weight * entry.load_weight;
    }
  }
  const double average = weights > 0.0 ? loaded_weights / weights : 1.0;
  for (candidate& entry : candidates) {
    const bool is_suspected = entry.suspicion >= options_.exclusion_suspicion;
    entry.weight *=
        is_suspected ? std::min(entry.load_weight, average) : entry.load_weight;
  }
}

double target_chooser::LoadWeight(std::uint32_t requests_in_flight,
                                  std::uint32_t slots) const {
  const double scale = std::min(
      kMaxLoadScale,
      static_cast<double>(std::max<std::size_t>(1, view_.serving_hosts)));
  const double load = scale * static_cast<double>(requests_in_flight) /
                      static_cast<double>(std::max(1U, slots));
  return 1.0 / (1.0 + load * load);
}

}  // namespace bulrushshore

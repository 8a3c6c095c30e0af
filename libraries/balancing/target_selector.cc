#include "libraries/balancing/target_selector.h"

#include <algorithm>
#include <string>

namespace bulrushshore {
namespace {

double TotalWeight(std::span<const target_load> candidates) {
  double total = 0.0;
  for (const target_load& candidate : candidates) {
    total += candidate.weight;
  }
  return total;
}

// Draws an index in proportion to the weights, leaving out `excluded`.
// Precondition: a candidate other than `excluded` exists.
std::size_t DrawByWeight(std::span<const target_load> candidates,
                         std::optional<std::size_t> excluded,
                         double total_weight,
                         random_source& random) {
  double remaining = random.UniformReal() * total_weight;
  std::size_t last = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i == excluded) {
      continue;
    }
    last = i;
    remaining -= candidates[i].weight;
    if (remaining < 0.0) {
      return i;
    }
  }
  // Rounding may leave a remainder after the last candidate.
  return last;
}

double LoadPerSlot(const target_load& candidate) {
  // A report above the number of slots carries no further information, and the
  // bound limits the effect of a target that misreports.
  const std::uint32_t reported =
      std::min(candidate.reported_load, candidate.slots);
  return static_cast<double>(candidate.in_flight + reported) / candidate.slots;
}

bool IsLessLoaded(const target_load& left, const target_load& right) {
  const double left_load = LoadPerSlot(left);
  const double right_load = LoadPerSlot(right);
  if (left_load != right_load) {
    return left_load < right_load;
  }
  return left.is_same_zone && !right.is_same_zone;
}

}  // namespace

std::optional<std::size_t> random_selector::Choose(
    std::span<const target_load> candidates,
    random_source& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  return DrawByWeight(candidates, std::nullopt, TotalWeight(candidates),
                      random);
}

std::optional<std::size_t> round_robin_selector::Choose(
    std::span<const target_load> candidates,
    random_source& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  for (std::size_t tried = 0; tried < candidates.size(); ++tried) {
    const std::size_t index = next_++ % candidates.size();
    if (random.UniformReal() < candidates[index].weight) {
      return index;
    }
  }
  return next_++ % candidates.size();
}

std::optional<std::size_t> least_outstanding_selector::Choose(
    std::span<const target_load> candidates,
    random_source& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Starts at a random candidate, so that ties do not favour the first one.
  const std::size_t start = random.Uniform(candidates.size());
  std::size_t best = start;
  double best_load = 0.0;
  for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
    const std::size_t index = (start + offset) % candidates.size();
    const target_load& candidate = candidates[index];
    const double load =
        (candidate.in_flight + 1.0) / (candidate.slots * candidate.weight);
    if (offset == 0 || load < best_load) {
      best = index;
      best_load = load;
    }
  }
  return best;
}

std::optional<std::size_t> two_choices_selector::Choose(
    std::span<const target_load> candidates,
    random_source& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double total = TotalWeight(candidates);
  const std::size_t first =
      DrawByWeight(candidates, std::nullopt, total, random);
  if (candidates.size() == 1) {
    return first;
  }
  const std::size_t second =
      DrawByWeight(candidates, first, total - candidates[first].weight, random);
  return IsLessLoaded(candidates[second], candidates[first]) ? second : first;
}

result<std::unique_ptr<target_selector>> MakeTargetSelector(
    std::string_view name) {
  if (name == "random") {
    return std::make_unique<random_selector>();
  }
  if (name == "round_robin") {
    return std::make_unique<round_robin_selector>();
  }
  if (name == "least_outstanding") {
    return std::make_unique<least_outstanding_selector>();
  }
  if (name == "two_choices") {
    return std::make_unique<two_choices_selector>();
  }
  return error{error_code::kInvalidArgument,
               "unknown target selector \"" + std::string(name) + "\""};
}

}  // namespace bulrushshore

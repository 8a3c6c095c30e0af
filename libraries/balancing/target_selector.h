#ifndef LIBRARIES_BALANCING_TARGET_SELECTOR_H_
#define LIBRARIES_BALANCING_TARGET_SELECTOR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "libraries/base/random_source.h"
#include "libraries/base/result.h"

namespace bulrushshore {

// What a host knows about one target that may take the request.
struct target_load {
  // Number of requests that the target runs at the same time.
  std::uint32_t slots = 1;
  // Requests of this host that the target runs.
  std::uint32_t in_flight = 0;
  // Requests that the target last reported as running.
  std::uint32_t reported_load = 0;
  // Share of the usual traffic that the target should get, in (0, 1].
  double weight = 1.0;
  bool is_same_zone = false;
};

// Chooses the target of a request. Implementations keep no state about single
// targets, so that candidates may differ between calls. Not thread safe.
class target_selector {
 public:
  virtual ~target_selector() = default;

  // Returns the index of the chosen candidate, or nothing if there is none.
  virtual std::optional<std::size_t> Choose(
      std::span<const target_load> candidates,
      random_source& random) = 0;
};

// Chooses at random, in proportion to the weights.
class random_selector : public target_selector {
 public:
  std::optional<std::size_t> Choose(std::span<const target_load> candidates,
                                    random_source& random) override;
};

// Takes the candidates in turn; a candidate of weight w is passed over with
// probability 1 - w.
class round_robin_selector : public target_selector {
 public:
  std::optional<std::size_t> Choose(std::span<const target_load> candidates,
                                    random_source& random) override;

 private:
  std::size_t next_ = 0;
};

// Chooses the candidate with the fewest own requests per weighted slot.
class least_outstanding_selector : public target_selector {
 public:
  std::optional<std::size_t> Choose(std::span<const target_load> candidates,
                                    random_source& random) override;
};

// Chooses the less loaded of two candidates drawn at random by weight. The load
// is the own requests plus the reported ones, per slot; at equal load a target
// in the same availability zone is preferred.
class two_choices_selector : public target_selector {
 public:
  std::optional<std::size_t> Choose(std::span<const target_load> candidates,
                                    random_source& random) override;
};

// Creates a selector by name: "random", "round_robin", "least_outstanding" or
// "two_choices". Thread safe.
result<std::unique_ptr<target_selector>> MakeTargetSelector(
    std::string_view name);

}  // namespace bulrushshore

#endif  // LIBRARIES_BALANCING_TARGET_SELECTOR_H_

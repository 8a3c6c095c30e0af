#ifndef LIBRARIES_PLACEMENT_TARGET_CHOOSER_H_
#define LIBRARIES_PLACEMENT_TARGET_CHOOSER_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/placement/rest_schedule.h"
#include "libraries/placement/suspicion_tracker.h"
#include "libraries/targets/target_registry.h"

namespace bulrushshore {

struct target_chooser_options {
  // A target at or above this suspicion is excluded, unless the floor of its
  // service would be violated.
  double exclusion_suspicion = 0.8;
  // The floor: the share of a service's targets that exclusion always leaves in
  // use.
  double floor_share = 0.7;
  // Reduces the weight of a suspected target: 1 / (1 + factor * suspicion^2).
  double suspicion_factor = 20.0;
  // Replaces `suspicion_factor` for requests that are not cautious. Such
  // requests detect which targets have recovered, and keep the floor of a
  // service in use while the service fails.
  double non_cautious_suspicion_factor = 8.0;
  // The lower bound of the weight factor of a suspected target for requests
  // that must use the targets of the floor.
  double minimum_floor_share = 0.3;
  // Multiplies the weight of a target with a recent success, for cautious
  // requests. This concentrates them on few targets: each target that starts to
  // fail loses at least one request, so fewer targets in use means fewer lost
  // requests.
  double recent_success_factor = 4.0;
  // Multiplies the weight of a target while it warms up.
  double warm_up_share = 0.5;
  // A target in the host's own zone gets at most this multiple of an even
  // share, so that the hosts of a zone with few targets do not overload them.
  double max_local_share_multiple = 1.3;
  // The fraction of an even share that targets in other zones get if the host's
  // own zone has capacity for all requests of its hosts.
  double remote_share = 0.03;
};

// The properties of the request for which a target is chosen.
struct placement_request {
  // Targets that must not be chosen, such as those already tried.
  std::span<const std::string> excluded_ids;
  time_point now;
  // The request should avoid targets that may be failing, because it cannot be
  // repeated or is itself a repeat.
  bool is_cautious = false;
  // The request must also use suspected targets of the floor; see floor_keeper.
  bool must_use_floor = false;
  // Targets that rest are not chosen. Null if no target rests.
  const rest_schedule* rests = nullptr;
};

// The host's zone and its view of the fleet.
struct placement_view {
  std::string zone;
  // The number of zones with at least one host that callers are sent to.
  std::size_t zone_count = 1;
  // The number of hosts that callers are sent to.
  std::size_t serving_hosts = 1;
};

// Chooses the target of a request at random, weighted by the target's slots,
// zone, suspicion and number of requests in flight from this host. While a
// service's load is below its capacity, the suspicion decides which targets the
// chooser avoids; in bursts above the capacity, it spreads requests by free
// slots. Not thread safe.
class target_chooser {
 public:
  // Precondition: `random` outlives this object.
  target_chooser(const target_chooser_options& options, random_source& random);

  void SetView(const placement_view& view) { view_ = view; }

  // Returns the index of the chosen target in `targets`, or nullopt if
  // `targets` is empty or each of them rests or is excluded by the request.
  std::optional<std::size_t> Choose(std::span<const registered_target> targets,
                                    const suspicion_tracker& evidence,
                                    const placement_request& request);

 private:
  struct candidate {
    std::size_t index = 0;
    double suspicion = 0.0;
    double weight = 0.0;
    // Decreases from 1 with the number of requests in flight.
    double load_weight = 1.0;
  };

  std::vector<candidate> BuildCandidates(
      std::span<const registered_target> targets,
      const suspicion_tracker& evidence,
      const placement_request& request) const;
  // Excludes the most suspected targets, as far as the floor allows. Resting
  // targets count as excluded.
  void ExcludeSuspected(std::size_t target_count,
                        std::size_t resting_count,
                        std::vector<candidate>& candidates) const;
  // Returns true if the target rests.
  static bool IsResting(const registered_target& target,
                        const placement_request& request);
  // Multiplies the weights of the candidates by their load weights. A target
  // that fails at once has no requests in flight, so the load weight of a
  // suspected target is limited to the average of the others.
  void ApplyLoad(std::vector<candidate>& candidates) const;
  double SuspicionWeight(double suspicion,
                         const placement_request& request) const;
  double LoadWeight(std::uint32_t requests_in_flight,
                    std::uint32_t slots) const;

  target_chooser_options options_;
  placement_view view_;
  random_source& random_;
};

// The weights of a target in the host's own zone and in any other zone.
struct zone_weights {
  double local = 1.0;
  double remote = 1.0;
};

// Returns the zone weights for a service with `local` of its `total` targets in
// the host's own zone, if that zone receives 1/`zone_count` of the requests.
// Thread safe.
zone_weights ComputeZoneWeights(std::size_t local,
                                std::size_t total,
                                std::size_t zone_count,
                                const target_chooser_options& options);

}  // namespace bulrushshore

#endif  // LIBRARIES_PLACEMENT_TARGET_CHOOSER_H_

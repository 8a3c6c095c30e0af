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
#include "libraries/placement/evidence_board.h"
#include "libraries/targets/target_registry.h"

namespace bulrushshore {

struct target_chooser_options {
  // A target at or above this suspicion is left out, within the floor.
  double exclusion_suspicion = 0.8;
  // Share of a service's targets that exclusion always leaves in use.
  double floor_share = 0.7;
  // Weakens the share of a suspected target: 1 / (1 + factor * suspicion^2).
  double suspicion_factor = 20.0;
  // The same for requests that are not cautious. They find out which targets
  // work again, and keep the floor of a service in use while it fails.
  double trial_suspicion_factor = 8.0;
  // The least share of the usual requests that a suspected target gets while
  // its service fails: every target that the floor keeps in use must then see
  // requests, since the fault may be the load's and not the targets'.
  double failing_share = 0.3;
  // Multiple of the usual requests that a target gets while it is proven. Each
  // target that starts to fail costs at least one request if it is in use, so
  // that fewer targets in use lose fewer requests.
  double proven_factor = 4.0;
  // Share of the usual requests that a target gets while it warms up.
  double warm_up_share = 0.5;
  // A target of the own zone gets at most this multiple of an even share, so
  // that a zone with few targets does not overload them.
  double zone_headroom = 1.3;
  // Part of an even share that targets of other zones get if the own zone has
  // capacity for all requests of its hosts.
  double remote_share = 0.03;
};

// The circumstances of one choice.
struct placement_request {
  // Targets that the request must not meet again.
  std::span<const std::string> excluded_ids;
  time_point now;
  // The request must not meet a failing target: it cannot be sent again, or
  // it is a repeat.
  bool is_cautious = false;
  // Many recent requests of the service were not served.
  bool is_service_failing = false;
};

// What the fleet looks like from this host.
struct placement_view {
  std::string zone;
  // Zones that have hosts which take requests.
  std::size_t zone_count = 1;
  // Hosts that take requests.
  std::size_t serving_hosts = 1;
};

// Chooses the target of a request at random, weighted by slots, zone, suspicion
// and the requests that this host already has there. Answers loads below the
// capacity of a service, where the question is which targets fail, and bursts
// above it, where requests spread by free slots. Not thread safe.
class target_chooser {
 public:
  // Precondition: `random` outlives this object.
  target_chooser(const target_chooser_options& options, random_source& random);

  void SetView(const placement_view& view) { view_ = view; }

  // Returns the index of the chosen target, or nothing if there is none.
  std::optional<std::size_t> Choose(std::span<const registered_target> targets,
                                    const evidence_board& evidence,
                                    const placement_request& request);

 private:
  struct candidate {
    std::size_t index = 0;
    double suspicion = 0.0;
    double weight = 0.0;
  };

  std::vector<candidate> Candidates(std::span<const registered_target> targets,
                                    const evidence_board& evidence,
                                    const placement_request& request) const;
  void ExcludeSuspected(std::size_t target_count,
                        std::vector<candidate>& candidates) const;
  double TrustWeight(double suspicion, const placement_request& request) const;
  double LoadWeight(const registered_target& target,
                    const evidence_board& evidence) const;

  target_chooser_options options_;
  placement_view view_;
  random_source& random_;
};

// Returns the weights of a target in the own zone and in another one, for a
// service with `local` of `total` targets in a zone that gets 1/`zone_count` of
// the requests. Thread safe.
struct zone_weights {
  double local = 1.0;
  double remote = 1.0;
};
zone_weights WeighZones(std::size_t local,
                        std::size_t total,
                        std::size_t zone_count,
                        const target_chooser_options& options);

}  // namespace bulrushshore

#endif  // LIBRARIES_PLACEMENT_TARGET_CHOOSER_H_

#ifndef LIBRARIES_PLACEMENT_FLOOR_KEEPER_H_
#define LIBRARIES_PLACEMENT_FLOOR_KEEPER_H_

#include "libraries/base/clock.h"
#include "libraries/placement/outcome_meter.h"

namespace bulrushshore {

enum class attempt_role {
  // The first attempt of a request that may be repeated.
  kRepeatableFirst,
  // The first attempt of a request that must not run twice.
  kOnceOnlyFirst,
  // A further attempt of any request.
  kRetry,
};

struct floor_keeper_options {
  // A service is failing if more than this share of its requests is not served.
  // Slightly below one tenth, the share from which the requirements demand that
  // the floor (the share of targets that exclusion leaves in use) holds.
  double failing_share = 0.08;
  // If at least this share of the requests is repeatable, they alone keep the
  // floor in use. With less, a target of the floor would get no request for
  // seconds.
  double sufficient_repeatable_share = 0.25;
  outcome_meter_options outcomes;
};

// Decides which attempts of one service are placed so that suspected targets of
// its floor stay in use while the service fails: high load may be the cause,
// and then each target counts. Such an attempt may be lost, and lost attempts
// keep the service failing. It is therefore left to attempts that can be
// repeated, unless the service has too few of them. Answers for loads in which
// a part of the targets fails and the others have capacity. Never reads a
// clock. Not thread safe.
class floor_keeper {
 public:
  explicit floor_keeper(const floor_keeper_options& options = {});

  // Records the end of a request.
  void Record(bool is_repeatable, bool is_served, time_point now);

  // Returns true if the attempt must also use suspected targets of the floor.
  bool MustUseFloor(attempt_role role, time_point now) const;

 private:
  floor_keeper_options options_;
  outcome_meter outcomes_;
  // Counts requests that must not run twice as unserved, so that its share is
  // theirs.
  outcome_meter once_only_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PLACEMENT_FLOOR_KEEPER_H_

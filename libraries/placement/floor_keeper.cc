#include "libraries/placement/floor_keeper.h"

namespace bulrushshore {

floor_keeper::floor_keeper(const floor_keeper_options& options)
    : options_(options),
      outcomes_(options.outcomes),
      once_only_(options.outcomes) {}

void floor_keeper::Record(bool is_repeatable, bool is_served, time_point now) {
  outcomes_.Record(is_served, now);
  once_only_.Record(is_repeatable, now);
}

bool floor_keeper::MustUseFloor(attempt_role role, time_point now) const {
  if (role == attempt_role::kRetry ||
      outcomes_.UnservedShare(now) <= options_.failing_share) {
    return false;
  }
  if (role == attempt_role::kRepeatableFirst) {
    return true;
  }
  const double repeatable_share = 1.0 - once_only_.UnservedShare(now);
  return repeatable_share < options_.sufficient_repeatable_share;
}

}  // namespace bulrushshore

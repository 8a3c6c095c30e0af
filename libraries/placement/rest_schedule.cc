#include "libraries/placement/rest_schedule.h"

#include <algorithm>

namespace bulrushshore {

rest_schedule::rest_schedule(duration maximum) : maximum_(maximum) {}

void rest_schedule::Record(const suspicion_tracker::target_key& target,
                           duration requested,
                           time_point now) {
  const time_point until = now + std::min(requested, maximum_);
  rest& known = rests_.try_emplace(std::string(target.id)).first->second;
  const bool is_same_incarnation =
      known.started_at_unix_ms == target.started_at_unix_ms;
  known.until = is_same_incarnation ? std::max(known.until, until) : until;
  known.started_at_unix_ms = target.started_at_unix_ms;
}

std::optional<time_point> rest_schedule::RestingUntil(
    const suspicion_tracker::target_key& target,
    time_point now) const {
  const auto found = rests_.find(target.id);
  if (found == rests_.end() || found->second.until <= now ||
      found->second.started_at_unix_ms != target.started_at_unix_ms) {
    return std::nullopt;
  }
  return found->second.until;
}

void rest_schedule::Forget(time_point now) {
  std::erase_if(rests_, [now](const rest_map::value_type& entry) {
    return entry.second.until <= now;
  });
}

}  // namespace bulrushshore

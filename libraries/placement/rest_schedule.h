#ifndef LIBRARIES_PLACEMENT_REST_SCHEDULE_H_
#define LIBRARIES_PLACEMENT_REST_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libraries/base/clock.h"
#include "libraries/placement/suspicion_tracker.h"

namespace bulrushshore {

// Records which targets have asked this host to send no requests for some time,
// their rest. A rest concerns this host only: the target may still have room
// for the requests of other hosts. The class never reads a clock. Not thread
// safe.
class rest_schedule {
 public:
  // A target that asks for more than `maximum` rests for `maximum`.
  explicit rest_schedule(duration maximum);

  // Records that the target asked for a rest of `requested` at `now`. A rest
  // that already lasts longer is not shortened.
  void Record(const suspicion_tracker::target_key& target,
              duration requested,
              time_point now);

  // Returns the end of the target's rest, or nothing if it does not rest.
  std::optional<time_point> RestingUntil(
      const suspicion_tracker::target_key& target,
      time_point now) const;

  // Removes the rests that have ended.
  void Forget(time_point now);

  bool empty() const { return rests_.empty(); }

 private:
  struct rest {
    std::int64_t started_at_unix_ms = 0;
    time_point until;
  };

  using rest_map = std::map<std::string, rest, std::less<>>;

  duration maximum_;
  rest_map rests_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PLACEMENT_REST_SCHEDULE_H_

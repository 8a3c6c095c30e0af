#ifndef LIBRARIES_ADMISSION_CONCURRENCY_LIMIT_H_
#define LIBRARIES_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "libraries/base/clock.h"

namespace bulrushshore {

struct concurrency_limit_options {
  bool is_enabled = true;
  double decrease_factor = 0.7;
  // Requests shed within this time of a decrease count as the same overload and
  // cause no further decrease.
  duration decrease_interval = std::chrono::milliseconds(200);
  // Just below the level at which the target last shed work, the limit grows by
  // this share of the usual step, so that it does not oscillate around that
  // level.
  double reduced_step_factor = 0.02;
  // Pause after the target sheds the only request in flight. The pause doubles
  // each time, up to the maximum.
  duration initial_pause = std::chrono::milliseconds(20);
  duration maximum_pause = std::chrono::milliseconds(500);
};

// Estimates how many concurrent requests from this host a target can serve:
// additive increase while the limit is fully used, multiplicative decrease when
// the target sheds work, which means that it refuses a request because of
// overload. Not thread safe.
class concurrency_limit {
 public:
  // Precondition: `maximum` > 0.
  explicit concurrency_limit(std::uint32_t maximum,
                             const concurrency_limit_options& options = {});

  // Sets the number of slots of the target. If it changes, the limit is reset
  // to the new maximum. Precondition: `maximum` > 0.
  void SetMaximum(std::uint32_t maximum);

  // Returns true if another request may start beside the `in_flight` ones.
  bool Allows(std::uint32_t in_flight, time_point now) const;

  // Records a completed request; `in_flight` includes it.
  void RecordCompleted(std::uint32_t in_flight);

  // Records a request that the target shed; `in_flight` includes it.
  void RecordShed(std::uint32_t in_flight, time_point now);

  // Returns the end of the current pause, or nothing if there is none at `now`.
  std::optional<time_point> PausedUntil(time_point now) const;

  double limit() const { return limit_; }

 private:
  concurrency_limit_options options_;
  double maximum_;
  double limit_;
  // Number of requests in flight at the shed request that last decreased the
  // limit; above the maximum if there was none.
  double last_shed_level_;
  duration pause_;
  time_point paused_until_;
  std::optional<time_point> last_decrease_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_CONCURRENCY_LIMIT_H_

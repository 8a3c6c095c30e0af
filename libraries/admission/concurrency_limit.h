#ifndef LIBRARIES_ADMISSION_CONCURRENCY_LIMIT_H_
#define LIBRARIES_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "libraries/base/clock.h"

namespace bulrushshore {

struct concurrency_limit_options {
  bool is_enabled = true;
  double decrease_factor = 0.7;
  // Refusals within this time of a decrease belong to the same overload.
  duration decrease_interval = std::chrono::milliseconds(200);
  // Below the level that was refused last, the limit grows by this share of the
  // usual step, so that it does not swing around that level.
  double cautious_step = 0.02;
  // Pause after a refusal of the only request, doubled up to the maximum.
  duration first_pause = std::chrono::milliseconds(20);
  duration maximum_pause = std::chrono::milliseconds(500);
};

// Learns how many requests of this host a target bears: additive increase
// while the limit is used, multiplicative decrease when the target sheds work.
// Not thread safe.
class concurrency_limit {
 public:
  // Precondition: `maximum` > 0.
  explicit concurrency_limit(std::uint32_t maximum,
                             const concurrency_limit_options& options = {});

  // Changes the number of slots of the target. Precondition: `maximum` > 0.
  void SetMaximum(std::uint32_t maximum);

  // Returns true if a further request may start.
  bool Allows(std::uint32_t in_flight, time_point now) const;

  // Enters a completed request; `in_flight` includes it.
  void RecordCompleted(std::uint32_t in_flight);

  // Enters a request that the target refused; `in_flight` includes it.
  void RecordShed(std::uint32_t in_flight, time_point now);

  // Returns the end of a pause that is not over yet.
  std::optional<time_point> PausedUntil(time_point now) const;

  double limit() const { return limit_; }

 private:
  concurrency_limit_options options_;
  double maximum_;
  double limit_;
  // The level at which the target last refused work.
  double refused_level_;
  duration pause_;
  time_point paused_until_;
  std::optional<time_point> decreased_at_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_CONCURRENCY_LIMIT_H_

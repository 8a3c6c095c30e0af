#ifndef LIBRARIES_BASE_CLOCK_H_
#define LIBRARIES_BASE_CLOCK_H_

#include <chrono>

#include <caf/actor_clock.hpp>
// actor_clock.hpp only declares caf::error, which clang-tidy takes for a
// mistaken declaration of bulrushshore::error unless the definition is seen.
#include <caf/error.hpp>

namespace bulrushshore {

using time_point = caf::actor_clock::time_point;
using duration = caf::actor_clock::duration_type;

// A monotonic clock. Code outside this package never reads a system clock
// directly, so that tests can pause and advance time.
class clock {
 public:
  virtual ~clock() = default;

  // Returns the current time. Implementations are thread safe.
  virtual time_point Now() const = 0;
};

// Reads the clock of the CAF actor system, which the test scheduler pauses.
class runtime_clock : public clock {
 public:
  // Precondition: `source` outlives this object.
  explicit runtime_clock(const caf::actor_clock& source);

  // Thread safe.
  time_point Now() const override;

 private:
  const caf::actor_clock& source_;
};

// A clock that stands still until it is advanced. Not thread safe.
class manual_clock : public clock {
 public:
  time_point Now() const override;

  // Moves the clock forward. Precondition: `step` is not negative.
  void Advance(duration step);

 private:
  time_point now_{std::chrono::hours(1)};
};

// Returns `value` in whole milliseconds. Thread safe.
inline std::chrono::milliseconds ToMilliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_CLOCK_H_

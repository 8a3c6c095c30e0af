#include "libraries/base/clock.h"

#include <cassert>

namespace bulrushshore {

runtime_clock::runtime_clock(const caf::actor_clock& source)
    : source_(source) {}

time_point runtime_clock::Now() const {
  return source_.now();
}

time_point manual_clock::Now() const {
  return now_;
}

void manual_clock::Advance(duration step) {
  assert(step >= duration::zero());
  now_ += step;
}

}  // namespace bulrushshore

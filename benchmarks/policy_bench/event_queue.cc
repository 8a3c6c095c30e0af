#include "benchmarks/policy_bench/event_queue.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {

void event_queue::At(time_point time, callback action) {
  events_.push({std::max(time, now_), next_sequence_++, std::move(action)});
}

void event_queue::After(duration delay, callback action) {
  At(now_ + delay, std::move(action));
}

void event_queue::RunUntil(duration end) {
  while (!events_.empty() && events_.top().time <= kStart + end) {
    // The event is popped before it runs, because it may add further events.
    const event next = events_.top();
    events_.pop();
    now_ = next.time;
    next.action();
  }
  now_ = kStart + end;
}

}  // namespace bulrushshore

#include "benchmarks/policy_bench/event_queue.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {

void event_queue::At(time_point time, callback action) {
  events_.push_back(
      {std::max(time, now_), next_sequence_++, std::move(action)});
  std::push_heap(events_.begin(), events_.end(), later());
}

void event_queue::After(duration delay, callback action) {
  At(now_ + delay, std::move(action));
}

void event_queue::RunUntil(duration end) {
  while (!events_.empty() && events_.front().time <= kStart + end) {
    std::pop_heap(events_.begin(), events_.end(), later());
    // The event is taken out before it runs, because it may add further events.
    const event next = std::move(events_.back());
    events_.pop_back();
    now_ = next.time;
    next.action();
  }
  now_ = kStart + end;
}

}  // namespace bulrushshore

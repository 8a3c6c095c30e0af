#ifndef BENCHMARKS_POLICY_BENCH_EVENT_QUEUE_H_
#define BENCHMARKS_POLICY_BENCH_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Runs callbacks in the order of their virtual times. Not thread safe.
class event_queue {
 public:
  using callback = std::function<void()>;

  time_point Now() const { return now_; }

  // Returns the virtual time since the start.
  duration Elapsed() const { return now_ - kStart; }

  // Runs `action` at `time`, or now if that has passed.
  void At(time_point time, callback action);
  void After(duration delay, callback action);

  // Runs all events up to `duration` after the start.
  void RunUntil(duration end);

 private:
  struct event {
    time_point time;
    std::uint64_t sequence = 0;
    callback action;
  };
  struct later {
    bool operator()(const event& left, const event& right) const {
      return left.time != right.time ? left.time > right.time
                                     : left.sequence > right.sequence;
    }
  };

  static constexpr time_point kStart{std::chrono::hours(1)};

  time_point now_ = kStart;
  std::uint64_t next_sequence_ = 0;
  // A heap with the earliest event first.
  std::vector<event> events_;
};

}  // namespace bulrushshore

#endif  // BENCHMARKS_POLICY_BENCH_EVENT_QUEUE_H_

#ifndef STAND_INS_TARGET_SLOT_GATE_H_
#define STAND_INS_TARGET_SLOT_GATE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace bulrushshore {

enum class slot_outcome {
  kGranted,
  // All slots and the backlog are taken.
  kShed,
  // The wait ended because the caller of Enter() said so.
  kAbandoned,
};

// Lets a bounded number of requests run and a bounded number wait. Thread safe.
class slot_gate {
 public:
  slot_gate(std::size_t slots, std::size_t backlog);

  // Waits for a slot. While waiting, asks `is_abandoned` every few
  // milliseconds and gives up when it returns true.
  slot_outcome Enter(const std::function<bool()>& is_abandoned);

  // Returns a slot. Precondition: Enter() returned kGranted.
  void Leave();

  // Returns the number of slots in use.
  std::size_t running() const;

 private:
  const std::size_t slots_;
  const std::size_t backlog_;
  mutable std::mutex mutex_;
  std::condition_variable slot_free_;
  std::size_t running_ = 0;
  std::size_t waiting_ = 0;
};

}  // namespace bulrushshore

#endif  // STAND_INS_TARGET_SLOT_GATE_H_

#include "stand_ins/target/slot_gate.h"

#include <cassert>

namespace bulrushshore {

slot_gate::slot_gate(std::size_t slots, std::size_t backlog)
    : slots_(slots), backlog_(backlog) {}

slot_outcome slot_gate::Enter(const std::function<bool()>& is_abandoned) {
  constexpr std::chrono::milliseconds kAbandonCheckInterval(10);
  std::unique_lock<std::mutex> lock(mutex_);
  if (running_ >= slots_ && waiting_ >= backlog_) {
    return slot_outcome::kShed;
  }
  ++waiting_;
  while (running_ >= slots_) {
    if (is_abandoned()) {
      --waiting_;
      return slot_outcome::kAbandoned;
    }
    slot_free_.wait_for(lock, kAbandonCheckInterval);
  }
  --waiting_;
  ++running_;
  return slot_outcome::kGranted;
}

void slot_gate::Leave() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    assert(running_ > 0);
    --running_;
  }
  slot_free_.notify_one();
}

std::size_t slot_gate::running() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return running_;
}

}  // namespace bulrushshore

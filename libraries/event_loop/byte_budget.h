#ifndef LIBRARIES_EVENT_LOOP_BYTE_BUDGET_H_
#define LIBRARIES_EVENT_LOOP_BYTE_BUDGET_H_

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace bulrushshore {

// Limits the bytes that several connections buffer together. Not thread safe.
class byte_budget {
 public:
  explicit byte_budget(std::size_t maximum) : maximum_(maximum) {}

  // Takes `bytes` from the budget; returns false if fewer are left.
  bool TryTake(std::size_t bytes) {
    if (bytes > maximum_ - used_) {
      return false;
    }
    used_ += bytes;
    most_used_ = std::max(most_used_, used_);
    return true;
  }

  // Returns bytes to the budget. Precondition: they were taken.
  void Return(std::size_t bytes) {
    assert(bytes <= used_);
    used_ -= bytes;
  }

  std::size_t used() const { return used_; }
  std::size_t most_used() const { return most_used_; }

 private:
  std::size_t maximum_;
  std::size_t used_ = 0;
  std::size_t most_used_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_EVENT_LOOP_BYTE_BUDGET_H_

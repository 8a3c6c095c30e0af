#ifndef STAND_INS_TARGET_LAGGED_VALUE_H_
#define STAND_INS_TARGET_LAGGED_VALUE_H_

#include <deque>
#include <utility>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Remembers the changes of a value, for reports that lag behind it. Not thread
// safe.
template <typename T>
class lagged_value {
 public:
  explicit lagged_value(T initial) : oldest_(std::move(initial)) {}

  // Records a change at `now`. Precondition: `now` never decreases.
  void Set(time_point now, T value) {
    changes_.emplace_back(now, std::move(value));
    if (changes_.size() > kMaxChanges) {
      oldest_ = changes_.front().second;
      changes_.pop_front();
    }
  }

  // Returns the value as it was at `when`.
  T At(time_point when) const {
    T value = oldest_;
    for (const std::pair<time_point, T>& change : changes_) {
      if (change.first > when) {
        break;
      }
      value = change.second;
    }
    return value;
  }

 private:
  static constexpr std::size_t kMaxChanges = 10'000;

  T oldest_;
  std::deque<std::pair<time_point, T>> changes_;
};

}  // namespace bulrushshore

#endif  // STAND_INS_TARGET_LAGGED_VALUE_H_

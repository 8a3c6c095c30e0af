#ifndef LIBRARIES_BASE_PUBLISHED_H_
#define LIBRARIES_BASE_PUBLISHED_H_

#include <memory>
#include <mutex>
#include <utility>

namespace bulrushshore {

// Hands immutable values from one writer to any number of readers. Thread safe.
template <typename T>
class published {
 public:
  // Precondition: `initial` is not null.
  explicit published(std::shared_ptr<const T> initial)
      : value_(std::move(initial)) {}

  // Returns the newest value; never null.
  std::shared_ptr<const T> Get() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return value_;
  }

  // Replaces the value. Precondition: `value` is not null.
  void Set(std::shared_ptr<const T> value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    value_.swap(value);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_PUBLISHED_H_

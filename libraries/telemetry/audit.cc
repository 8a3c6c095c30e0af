#include "libraries/telemetry/audit.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace bulrushshore {

std::int64_t CurrentUnixTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

audit_log::audit_log(std::size_t capacity) : capacity_(capacity) {
  assert(capacity > 0);
}

void audit_log::Append(audit_record record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (records_.size() == capacity_) {
    records_.pop_front();
    ++dropped_;
  }
  records_.push_back(std::move(record));
}

std::vector<audit_record> audit_log::Records() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {records_.begin(), records_.end()};
}

std::vector<audit_record> audit_log::RecordsAfter(std::uint64_t sequence,
                                                  std::size_t limit) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint64_t skipped = sequence > dropped_ ? sequence - dropped_ : 0;
  const std::size_t first = std::min<std::uint64_t>(skipped, records_.size());
  const std::size_t count = std::min(limit, records_.size() - first);
  const std::deque<audit_record>::const_iterator begin =
      records_.begin() + static_cast<std::ptrdiff_t>(first);
  return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

std::uint64_t audit_log::appended() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_ + records_.size();
}

std::uint64_t audit_log::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

}  // namespace bulrushshore

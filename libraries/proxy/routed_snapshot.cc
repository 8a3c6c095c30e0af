#include "libraries/proxy/routed_snapshot.h"

#include <utility>

namespace bulrushshore {

routed_snapshot_cache::routed_snapshot_cache(const snapshot_source& source)
    : source_(source) {}

std::shared_ptr<const routed_snapshot> routed_snapshot_cache::Current() {
  std::shared_ptr<const catalog_snapshot> snapshot = source_.Current();
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool is_outdated =
      current_ == nullptr || current_->snapshot != snapshot;
  // A thread that read an older snapshot before another one built the table of
  // a newer one must not go back.
  if (current_ == nullptr ||
      (is_outdated && snapshot->version >= current_->snapshot->version)) {
    route_table routes(snapshot->contents);
    current_ = std::make_shared<const routed_snapshot>(
        routed_snapshot{std::move(snapshot), std::move(routes)});
  }
  return current_;
}

}  // namespace bulrushshore

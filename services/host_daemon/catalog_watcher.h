#ifndef SERVICES_HOST_DAEMON_CATALOG_WATCHER_H_
#define SERVICES_HOST_DAEMON_CATALOG_WATCHER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include "libraries/base/published.h"
#include "libraries/catalog/types.h"
#include "libraries/store/catalog_reader.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

// Follows the configuration in the store on a thread of its own. Thread safe
// but for Start() and Stop().
class catalog_watcher : public snapshot_source {
 public:
  // Called on the watcher's thread for each new snapshot.
  using listener = std::function<void(std::shared_ptr<const catalog_snapshot>)>;

  // Precondition: `store` outlives this object.
  catalog_watcher(object_store& store, listener on_snapshot);
  ~catalog_watcher() override;

  void Start();
  void Stop();

  std::shared_ptr<const catalog_snapshot> Current() const override;

 private:
  void Watch();

  catalog_reader reader_;
  const listener on_snapshot_;
  published<catalog_snapshot> current_;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_CATALOG_WATCHER_H_

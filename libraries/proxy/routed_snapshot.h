#ifndef LIBRARIES_PROXY_ROUTED_SNAPSHOT_H_
#define LIBRARIES_PROXY_ROUTED_SNAPSHOT_H_

#include <memory>
#include <mutex>

#include "libraries/catalog/types.h"
#include "libraries/routing/route_table.h"

namespace bulrushshore {

// A configuration with the route table built from it.
struct routed_snapshot {
  std::shared_ptr<const catalog_snapshot> snapshot;
  route_table routes;
};

// Builds the route table once for each configuration. Thread safe.
class routed_snapshot_cache {
 public:
  // Precondition: `source` outlives this object.
  explicit routed_snapshot_cache(const snapshot_source& source);

  // Returns the configuration in force; never null.
  std::shared_ptr<const routed_snapshot> Current();

 private:
  const snapshot_source& source_;
  std::mutex mutex_;
  std::shared_ptr<const routed_snapshot> current_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_ROUTED_SNAPSHOT_H_

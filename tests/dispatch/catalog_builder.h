#ifndef TESTS_DISPATCH_CATALOG_BUILDER_H_
#define TESTS_DISPATCH_CATALOG_BUILDER_H_

#include <memory>
#include <string>

#include "libraries/catalog/types.h"

namespace bulrushshore {

// Returns a catalog with the service "archive" and targets "t0", "t1" and so
// on with the addresses 10.0.0.1, 10.0.0.2 and so on.
inline catalog_snapshot MakeCatalog(std::size_t target_count,
                                    std::uint32_t slots = 6) {
  catalog_snapshot snapshot;
  snapshot.version = 1;
  service archive;
  archive.name = "archive";
  snapshot.contents.services["archive"] = archive;
  for (std::size_t index = 0; index < target_count; ++index) {
    target added;
    added.service = "archive";
    added.name = "t" + std::to_string(index);
    added.address = {"10.0.0." + std::to_string(index + 1), 9001};
    added.zone = std::string(1, static_cast<char>('a' + index % 3));
    added.slots = slots;
    snapshot.contents.targets["archive/" + added.name] = added;
  }
  return snapshot;
}

inline std::shared_ptr<const catalog_snapshot> Share(
    const catalog_snapshot& snapshot) {
  return std::make_shared<const catalog_snapshot>(snapshot);
}

}  // namespace bulrushshore

#endif  // TESTS_DISPATCH_CATALOG_BUILDER_H_

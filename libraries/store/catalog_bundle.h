#ifndef LIBRARIES_STORE_CATALOG_BUNDLE_H_
#define LIBRARIES_STORE_CATALOG_BUNDLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/catalog/types.h"

namespace bulrushshore {

// A whole configuration as it stands in the store, in the form in which hosts
// pass it to each other. Bundles of consecutive versions share the bytes of
// the parts that did not change.
struct catalog_bundle {
  // Bytes of the head object; empty for version 0.
  std::string head;
  // Bytes of the parts by their digest.
  std::map<std::string, std::shared_ptr<const std::string>, std::less<>> parts;
};

// Returns the version that `bundle` claims to have; kDataLoss if its head is
// invalid. The parts are not looked at. Thread safe.
result<std::uint64_t> BundleVersion(const catalog_bundle& bundle);

// Returns the digests of the parts that the head `head_bytes` names and
// `bundle` does not hold. kDataLoss if the head is invalid. Thread safe.
result<std::vector<std::string>> MissingParts(std::string_view head_bytes,
                                              const catalog_bundle& bundle);

// Checks a bundle from any source and decodes it: the head, the digest of each
// part, every value, and the references between objects. kDataLoss if anything
// is missing or invalid; nothing of the bundle may be used then. Thread safe.
result<catalog_snapshot> BuildSnapshot(const catalog_bundle& bundle);

// As BuildSnapshot(bundle), but decodes only the parts that differ from
// `previous_bundle`, whose snapshot is `previous`. The result is the same.
// Thread safe.
result<catalog_snapshot> BuildSnapshot(const catalog_bundle& bundle,
                                       const catalog_bundle& previous_bundle,
                                       const catalog_snapshot& previous);

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_CATALOG_BUNDLE_H_

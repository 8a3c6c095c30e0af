#ifndef LIBRARIES_CATALOG_NAME_HASH_H_
#define LIBRARIES_CATALOG_NAME_HASH_H_

#include <cstddef>
#include <string_view>

namespace bulrushshore {

// Returns a bucket below `count` for a name, the same in every process and
// release: the parts of stored catalogs depend on it. Precondition: `count` is
// positive. Thread safe.
std::size_t NameBucket(std::string_view name, std::size_t count);

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_NAME_HASH_H_

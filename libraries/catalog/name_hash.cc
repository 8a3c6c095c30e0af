#include "libraries/catalog/name_hash.h"

#include <xxhash.h>

#include <cassert>

namespace bulrushshore {

std::size_t NameBucket(std::string_view name, std::size_t count) {
  constexpr XXH64_hash_t kSeed = 0;
  assert(count > 0);
  return XXH64(name.data(), name.size(), kSeed) % count;
}

}  // namespace bulrushshore

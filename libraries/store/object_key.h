#ifndef LIBRARIES_STORE_OBJECT_KEY_H_
#define LIBRARIES_STORE_OBJECT_KEY_H_

#include <string>
#include <string_view>

namespace bulrushshore {

inline constexpr std::size_t kMaxObjectKeyLength = 512;

// Returns true for 1 to kMaxObjectKeyLength characters of [a-zA-Z0-9/._-], so
// that a key stands in a URL as it is. Thread safe.
bool IsValidObjectKey(std::string_view key);

// The object that names the newest accepted configuration.
inline constexpr std::string_view kCatalogHeadKey = "catalog/head";

// Returns the key of a part of a catalog. Thread safe.
std::string CatalogPartKey(std::string_view digest);

// Returns the key of a note record. Thread safe.
std::string CatalogNoteKey(std::string_view digest);

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_OBJECT_KEY_H_

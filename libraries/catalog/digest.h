#ifndef LIBRARIES_CATALOG_DIGEST_H_
#define LIBRARIES_CATALOG_DIGEST_H_

#include <string>
#include <string_view>

namespace bulrushshore {

// Length of a digest in hexadecimal digits.
inline constexpr std::size_t kDigestLength = 64;

// Returns the SHA-256 of `bytes` as lower-case hexadecimal digits. Thread safe.
std::string Sha256Hex(std::string_view bytes);

// Returns true if `text` has the form of a digest. Thread safe.
bool IsDigest(std::string_view text);

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_DIGEST_H_

#ifndef LIBRARIES_BASE_CBOR_CHECK_H_
#define LIBRARIES_BASE_CBOR_CHECK_H_

#include <string_view>

namespace bulrushshore {

// Deepest nesting of arrays and maps that IsBoundedCbor() accepts.
inline constexpr int kMaxCborDepth = 8;

// Returns true if `bytes` is exactly one well-formed CBOR item (RFC 8949) that
// uses only integers, text and byte strings, arrays, maps, false, true and
// null, with definite lengths and at most kMaxCborDepth levels.
//
// The CBOR reader of nlohmann-json is recursive, for nested containers and for
// strings of indefinite length. Bytes from outside pass this check first, so
// that none of them can exhaust the stack. Thread safe.
bool IsBoundedCbor(std::string_view bytes);

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_CBOR_CHECK_H_

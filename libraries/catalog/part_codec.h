#ifndef LIBRARIES_CATALOG_PART_CODEC_H_
#define LIBRARIES_CATALOG_PART_CODEC_H_

#include <array>
#include <string>
#include <string_view>

#include "libraries/base/result.h"
#include "libraries/catalog/types.h"

namespace bulrushshore {

// A catalog is stored as parts. Services with their targets and routes are
// grouped by a hash of the service name into parts 0 to 31, organisations by a
// hash of their name into parts 32 to 95, so that one change rewrites one or
// two small parts. The number of parts is fixed: changing it would rewrite all
// of them and needs a new format number.
inline constexpr std::size_t kServicePartCount = 32;
inline constexpr std::size_t kOrganisationPartCount =
    organisation_table::kGroupCount;
inline constexpr std::size_t kPartCount =
    kServicePartCount + kOrganisationPartCount;
inline constexpr std::size_t kMaxPartBytes = std::size_t{512} * 1024;

// The encoded parts of a catalog; a part without objects is empty.
using encoded_parts = std::array<std::string, kPartCount>;

// SHA-256 digests of the parts; empty for a part without objects.
using part_digests = std::array<std::string, kPartCount>;

// Returns the part that holds a service with its targets and routes. Thread
// safe.
std::size_t PartOfService(std::string_view service_name);

// Returns the part that holds an organisation. Thread safe.
std::size_t PartOfOrganisation(std::string_view name);

// Encodes `contents` as canonical CBOR: equal contents have equal bytes.
// kResourceExhausted if a part would be larger than kMaxPartBytes. Thread safe.
result<encoded_parts> EncodeParts(const catalog_contents& contents);

// Returns the digests of `parts`. Thread safe.
part_digests DigestParts(const encoded_parts& parts);

// Decodes the part with this index and adds its objects to `contents`. The
// bytes may come from anywhere: kDataLoss if a value has the wrong type, is out
// of range, or does not belong to this part. `contents` is undefined after an
// error. References between objects are checked by CheckReferences(). Thread
// safe for unshared `contents`.
status DecodePart(std::size_t index,
                  std::string_view bytes,
                  catalog_contents& contents);

// Removes the objects that belong to the part with this index. Thread safe for
// unshared `contents`.
void RemovePart(std::size_t index, catalog_contents& contents);

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_PART_CODEC_H_

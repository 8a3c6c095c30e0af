#ifndef LIBRARIES_CATALOG_LIMITS_H_
#define LIBRARIES_CATALOG_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/catalog/types.h"

namespace bulrushshore {

// Bounds of a whole catalog and of the values in it. They hold for release
// notes and for catalogs that arrive from the store or from other hosts.
inline constexpr std::size_t kMaxServices = 400;
inline constexpr std::size_t kMaxTargets = 10'000;
inline constexpr std::size_t kMaxRoutes = 8'000;
inline constexpr std::size_t kMaxOrganisations = 80'000;
inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxPathPrefixLength = 160;
inline constexpr std::size_t kMaxHostNameLength = 160;
inline constexpr std::size_t kMaxTextLength = 160;
inline constexpr std::int64_t kMaxFloorPercent = 100;
inline constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
inline constexpr std::int64_t kMaxQueueLimit = 100'000;
// A host accepts no larger request body (design section 5).
inline constexpr std::int64_t kMaxBodyBytes = 1'048'576;
inline constexpr std::int64_t kMaxSlots = 10'000;
inline constexpr std::int64_t kMaxTargetConnections = 1'000'000;
inline constexpr std::int64_t kMaxWeight = 1'000;
inline constexpr std::int64_t kMaxCatalogVersion =
    std::int64_t{1} << 53U;  // exact in JSON readers that use doubles

// Returns true for 1 to 64 characters of [a-z0-9-]. Thread safe.
bool IsValidName(std::string_view text);

// Returns true for an absolute path of printable ASCII without blanks, '?' and
// '#'. Thread safe.
bool IsValidPathPrefix(std::string_view text);

// Returns true for an empty text or a lower-case host name or IP address
// without a port. Thread safe.
bool IsValidHostName(std::string_view text);

// Returns true for 1 to kMaxTextLength printable ASCII characters. Thread safe.
bool IsValidText(std::string_view text);

// Returns the key of a target in catalog_contents. Thread safe.
std::string TargetKey(std::string_view service_name, std::string_view name);

// A fault that concerns one object, for example "target", "archive/archive-1".
struct object_error {
  std::string object_type;
  std::string key;
  std::string message;
  // The object of the same type that it collides with; may be empty.
  std::string other_key;

  bool operator==(const object_error&) const = default;
};

// Checks what holds between the objects of a catalog: the services of targets
// and routes exist, no two targets of a service have the same address, no two
// routes match the same requests, and the bounds are kept. Thread safe.
std::vector<object_error> CheckReferences(const catalog_contents& contents);

// Slots of a service's targets by what the release notes say about them.
struct service_capacity {
  std::uint64_t registered_slots = 0;
  std::uint64_t active_slots = 0;
  // Slots that the service's floor asks for, rounded up.
  std::uint64_t floor_slots = 0;
};

// Returns the capacity of every service that has targets. Thread safe.
std::map<std::string, service_capacity> ComputeCapacities(
    const catalog_contents& contents);

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_LIMITS_H_

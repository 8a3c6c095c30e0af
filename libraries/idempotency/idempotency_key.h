#ifndef LIBRARIES_IDEMPOTENCY_IDEMPOTENCY_KEY_H_
#define LIBRARIES_IDEMPOTENCY_IDEMPOTENCY_KEY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/result.h"

namespace bulrushshore {

inline constexpr std::size_t kMaxKeyBytes = 255;
inline constexpr std::size_t kMaxCallerPartBytes = 128;

// An idempotency key in the fleet's own format. It names the process run (the
// incarnation of a host) that owns it for its whole lifetime:
// "bk1.<host id>.<incarnation>.<generation>.<caller part>".
struct idempotency_key {
  std::string host_id;
  // 16 lower-case hexadecimal digits.
  std::string incarnation;
  // Counts 60 s steps since the start of the incarnation.
  std::uint64_t generation = 0;
  // 1 to kMaxCallerPartBytes of [A-Za-z0-9_-].
  std::string caller_part;

  bool operator==(const idempotency_key&) const = default;
};

// Returns true if `text` claims to be in the own format. Such a text that
// ParseIdempotencyKey() rejects is faulty, not foreign. Thread safe.
bool HasOwnKeyPrefix(std::string_view text);

// Parses a key in the own format; kInvalidArgument if it is faulty. Only the
// canonical spelling is accepted, so that two texts never name the same key.
// Thread safe.
result<idempotency_key> ParseIdempotencyKey(std::string_view text);

// Formats `key` so that ParseIdempotencyKey() reads it back. Thread safe.
std::string FormatIdempotencyKey(const idempotency_key& key);

// Returns true if `text` may serve as a key in a foreign format: 1 to
// kMaxKeyBytes visible ASCII characters. Thread safe.
bool IsValidForeignKey(std::string_view text);

}  // namespace bulrushshore

#endif  // LIBRARIES_IDEMPOTENCY_IDEMPOTENCY_KEY_H_

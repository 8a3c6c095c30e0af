#ifndef LIBRARIES_CALLER_IDEMPOTENCY_KEY_H_
#define LIBRARIES_CALLER_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "libraries/base/random_source.h"

namespace bulrushshore {

// Returns whether `prefix` is "bk1.<host id>.<incarnation>.<generation>", with
// or without a dot at the end. Thread safe.
bool IsKeyPrefix(std::string_view prefix);

// Makes idempotency keys that no other caller and no other call has. Thread
// safe.
class idempotency_key_maker {
 public:
  // Draws the part that tells this caller from all others from `random`.
  explicit idempotency_key_maker(random_source& random);

  // Returns a new caller part: [0-9a-f-], at most 33 characters.
  std::string MakeCallerPart();

  // Returns "<prefix>.<caller_part>". Precondition: IsKeyPrefix(prefix).
  static std::string Join(std::string_view prefix,
                          std::string_view caller_part);

 private:
  const std::string caller_id_;
  std::mutex mutex_;
  std::uint64_t next_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CALLER_IDEMPOTENCY_KEY_H_

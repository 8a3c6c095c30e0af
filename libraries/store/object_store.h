#ifndef LIBRARIES_STORE_OBJECT_STORE_H_
#define LIBRARIES_STORE_OBJECT_STORE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/result.h"

namespace bulrushshore {

// A value and the version that the store gave it. Versions of one key grow.
struct stored_object {
  std::string value;
  std::uint64_t version = 0;

  bool operator==(const stored_object&) const = default;
};

inline constexpr std::uint64_t kNoVersion = 0;
inline constexpr std::size_t kMaxObjectBytes = 1'000'000;

// The platform's object store. Every call counts against the store's rates, a
// waiting watch as one. Implementations are thread safe; calls block for at
// most the time-out they were built with (WaitForChange: plus its own).
//
// Errors of every call: kUnavailable when the store cannot be reached or is
// out of service; the call had no effect.
class object_store {
 public:
  virtual ~object_store() = default;

  // Reads `key`; kNotFound if it does not exist.
  virtual result<stored_object> Get(std::string_view key) = 0;

  // Writes `key` if its version is `expected` (kNoVersion: if it does not
  // exist) and returns the new version. kConflict if the version differs.
  // kUnknownEffect if the reply was lost: the write may have taken effect.
  // Precondition: value.size() <= kMaxObjectBytes.
  virtual result<std::uint64_t> Put(std::string_view key,
                                    std::string_view value,
                                    std::uint64_t expected) = 0;

  // Deletes `key` if its version is `expected`. Errors as for Put().
  virtual status Delete(std::string_view key, std::uint64_t expected) = 0;

  // Returns up to `limit` keys that start with `prefix`, in order.
  virtual result<std::vector<std::string>> List(std::string_view prefix,
                                                std::size_t limit) = 0;

  // Waits until `key` has a version above `after` and returns it;
  // kDeadlineExceeded if that does not happen within `timeout`.
  virtual result<stored_object> WaitForChange(
      std::string_view key,
      std::uint64_t after,
      std::chrono::milliseconds timeout) = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_OBJECT_STORE_H_

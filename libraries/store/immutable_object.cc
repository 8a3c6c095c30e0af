#include "libraries/store/immutable_object.h"

#include <string>

namespace bulrushshore {
namespace {

constexpr int kMaxAttempts = 3;

}  // namespace

status PutImmutableObject(object_store& store,
                          std::string_view key,
                          std::string_view value) {
  std::uint64_t expected = kNoVersion;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const result<std::uint64_t> written = store.Put(key, value, expected);
    if (IsOk(written)) {
      return OkStatus();
    }
    const error_code code = ErrorOf(written).code;
    if (code != error_code::kConflict && code != error_code::kUnknownEffect) {
      return ErrorOf(written);
    }
    const result<stored_object> found = store.Get(key);
    if (IsOk(found) && ValueOf(found).value == value) {
      return OkStatus();
    }
    if (!IsOk(found) && ErrorOf(found).code != error_code::kNotFound) {
      return ErrorOf(found);
    }
    expected = IsOk(found) ? ValueOf(found).version : kNoVersion;
  }
  return error{error_code::kUnavailable,
               "cannot write object \"" + std::string(key) + "\""};
}

}  // namespace bulrushshore

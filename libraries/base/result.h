#ifndef LIBRARIES_BASE_RESULT_H_
#define LIBRARIES_BASE_RESULT_H_

#include <cassert>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace bulrushshore {

// The kinds of failure that callers of a function can tell apart.
enum class error_code {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,
  kDeadlineExceeded,
  kResourceExhausted,
  kPermissionDenied,
  kDataLoss,
  // The operation may or may not have taken effect.
  kUnknownEffect,
  kInternal,
};

// Returns the stable lower-case name of `code`, for logs and JSON output.
// Thread safe.
std::string_view ErrorCodeName(error_code code);

// A failure with a message meant for operators.
struct error {
  error_code code = error_code::kInternal;
  std::string message;

  bool operator==(const error&) const = default;
};

// Holds either a value or the error that prevented it.
template <typename T>
using result = std::variant<T, error>;

// The result of an operation that returns nothing on success.
using status = result<std::monostate>;

// Returns the status of a successful operation. Thread safe.
inline status OkStatus() {
  return std::monostate{};
}

// Returns true if `outcome` holds a value. Thread safe for unshared outcomes.
template <typename T>
bool IsOk(const result<T>& outcome) {
  return std::holds_alternative<T>(outcome);
}

// Returns the value. Precondition: IsOk(outcome).
template <typename T>
const T& ValueOf(const result<T>& outcome) {
  assert(IsOk(outcome));
  return *std::get_if<T>(&outcome);
}

// Returns the value. Precondition: IsOk(outcome).
template <typename T>
T& ValueOf(result<T>& outcome) {
  assert(IsOk(outcome));
  return *std::get_if<T>(&outcome);
}

// Moves the value out. Precondition: IsOk(outcome).
template <typename T>
T TakeValue(result<T>&& outcome) {
  assert(IsOk(outcome));
  return std::move(*std::get_if<T>(&outcome));
}

// Returns the error. Precondition: !IsOk(outcome).
template <typename T>
const error& ErrorOf(const result<T>& outcome) {
  assert(!IsOk(outcome));
  return *std::get_if<error>(&outcome);
}

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_RESULT_H_

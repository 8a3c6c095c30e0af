#include "libraries/base/result.h"

namespace bulrushshore {

std::string_view ErrorCodeName(error_code code) {
  switch (code) {
    case error_code::kInvalidArgument:
      return "invalid_argument";
    case error_code::kNotFound:
      return "not_found";
    case error_code::kConflict:
      return "conflict";
    case error_code::kUnavailable:
      return "unavailable";
    case error_code::kDeadlineExceeded:
      return "deadline_exceeded";
    case error_code::kResourceExhausted:
      return "resource_exhausted";
    case error_code::kPermissionDenied:
      return "permission_denied";
    case error_code::kDataLoss:
      return "data_loss";
    case error_code::kUnknownEffect:
      return "unknown_effect";
    case error_code::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace bulrushshore

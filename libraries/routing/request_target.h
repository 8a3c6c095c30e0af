#ifndef LIBRARIES_ROUTING_REQUEST_TARGET_H_
#define LIBRARIES_ROUTING_REQUEST_TARGET_H_

#include <string>
#include <string_view>

#include "libraries/base/result.h"

namespace bulrushshore {

// The target of an HTTP request line in origin form (RFC 9112, section 3.2.1).
struct request_target {
  // Starts with '/'; percent-encoded unreserved characters are decoded and the
  // remaining escapes are in upper case (RFC 3986, section 6.2.2).
  std::string path;
  // Without the question mark, as sent.
  std::string query;

  // Returns path and query as they stand in a request line. Thread safe.
  std::string ToString() const;

  bool operator==(const request_target&) const = default;
};

// Parses `text`. kInvalidArgument for everything that a target could read as a
// different path than the route table does: dot segments, empty segments,
// encoded slashes, backslashes, control characters, faulty escapes, fragments
// and the absolute form. Thread safe.
result<request_target> ParseRequestTarget(std::string_view text);

}  // namespace bulrushshore

#endif  // LIBRARIES_ROUTING_REQUEST_TARGET_H_

#ifndef LIBRARIES_CALLER_CALLER_TRANSPORT_H_
#define LIBRARIES_CALLER_CALLER_TRANSPORT_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"

namespace bulrushshore {

using header_list = std::vector<std::pair<std::string, std::string>>;

// Returns the first value of the header `name`, compared without regard to
// case, or nothing. Thread safe.
std::optional<std::string_view> FindHeader(const header_list& headers,
                                           std::string_view name);

struct transport_request {
  std::string method = "GET";
  // Path with the query, as it is sent.
  std::string path = "/";
  header_list headers;
  std::string body;
};

// A complete response: its framing was checked.
struct transport_response {
  int status = 0;
  header_list headers;
  std::string body;
};

enum class transport_failure {
  // No connection was established, so that no byte of the request was sent.
  kConnectFailed,
  // The connection failed, or the response was incomplete, after at least one
  // byte of the request may have been sent.
  kConnectionLost,
  // No complete response arrived in time.
  kTimedOut,
};

// Returns the stable lower-case name of `failure`. Thread safe.
std::string_view TransportFailureName(transport_failure failure);

using transport_result = std::variant<transport_response, transport_failure>;

// Sends HTTP requests to hosts.
class caller_transport {
 public:
  virtual ~caller_transport() = default;

  // Sends `request` once and waits up to `timeout` for the complete response.
  // Never sends a request a second time on its own. Thread safe.
  virtual transport_result Exchange(const endpoint& address,
                                    const transport_request& request,
                                    duration timeout) = 0;
};

// Waits between attempts, replaced in tests.
class retry_timer {
 public:
  virtual ~retry_timer() = default;

  // Blocks the calling thread for `delay`. Thread safe.
  virtual void Wait(duration delay) = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CALLER_CALLER_TRANSPORT_H_

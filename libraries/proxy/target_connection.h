#ifndef LIBRARIES_PROXY_TARGET_CONNECTION_H_
#define LIBRARIES_PROXY_TARGET_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <variant>

#include <httplib.h>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/http/http_message.h"
#include "libraries/proxy/exchange_stream.h"
#include "libraries/proxy/outcome.h"

namespace bulrushshore {

struct exchange_limits {
  // Upper bound of the time to open a connection.
  std::chrono::milliseconds connect_timeout{1000};
  // A connection whose peer acknowledges nothing for this long is closed, so
  // that a connection that went silent fails before the request's deadline.
  std::chrono::milliseconds unacknowledged_timeout{1500};
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
};

// One connection to a target, which serves one exchange after the other.
// cpp-httplib writes the request and parses the response; this class supplies
// deadlines, bounds and the reason of a failure. Not thread safe.
class target_connection : private httplib::ClientImpl {
 public:
  // Precondition: `source` outlives this object.
  target_connection(const endpoint& address,
                    const exchange_limits& limits,
                    const clock& source);

  // Sends `request` as it is and returns the complete response, or the point
  // at which the exchange failed. Opens a connection if none is open. Pass
  // kNoSocket as `cancel_socket` if nobody can cancel the exchange.
  std::variant<proxy_response, failure_point> Exchange(
      const proxy_request& request,
      time_point deadline,
      int cancel_socket);

  // Returns true if the connection is open and nothing was received on it
  // since the last exchange.
  bool IsReusable() const;

 private:
  bool process_socket(
      const Socket& socket,
      std::function<bool(httplib::Stream& stream)> callback) override;

  bool OnHead(const httplib::Response& response);
  bool OnBody(const char* data, std::size_t size);
  failure_point FindFailure() const;
  proxy_response TakeResponse();

  const exchange_limits limits_;
  const clock& clock_;

  // State of the exchange that is under way.
  time_point deadline_;
  int cancel_socket_ = kNoSocket;
  exchange_progress progress_;
  bool is_head_request_ = false;
  bool is_complete_without_body_ = false;
  bool may_reuse_ = false;
  std::optional<failure_point> fault_;
  httplib::Response head_;
  std::string body_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_TARGET_CONNECTION_H_

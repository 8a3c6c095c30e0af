#ifndef LIBRARIES_HTTP_CLIENT_CLIENT_CONNECTION_H_
#define LIBRARIES_HTTP_CLIENT_CLIENT_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include <httplib.h>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/http/http_message.h"
#include "libraries/http/response_reader.h"
#include "libraries/http_client/exchange_stream.h"

namespace bulrushshore {

struct exchange_limits {
  // Upper bound of the time to open a connection.
  std::chrono::milliseconds connect_timeout{1000};
  // A connection whose peer acknowledges nothing for this long is closed, so
  // that a connection that went silent fails before the request's deadline.
  // Zero for no such limit.
  std::chrono::milliseconds unacknowledged_timeout{1500};
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
  // Takes a response without a length whose end is that of its connection.
  bool accepts_unframed = false;
};

// The point at which an exchange failed.
enum class client_failure {
  // No connection was made.
  kConnectFailed,
  // No byte of the request was sent.
  kNothingSent,
  kClosedBeforeResponse,
  kClosedDuringResponse,
  kResponseTimeout,
  // The caller of the request is gone.
  kCancelled,
  // The response is not HTTP.
  kResponseMalformed,
  kResponseTooLarge,
  // The response does not say where it ends.
  kResponseUnframed,
};

// Returns the stable lower-case name of `failure`. Thread safe.
std::string_view ClientFailureName(client_failure failure);

// One connection to a server, which serves one exchange after the other and
// blocks its thread. cpp-httplib opens and closes the connection; its parser of
// responses takes heads and chunks that HTTP does not allow, so that
// response_reader reads them. Not thread safe.
class client_connection : private httplib::ClientImpl {
 public:
  // Precondition: `source` outlives this object.
  client_connection(const endpoint& address,
                    const exchange_limits& limits,
                    const clock& source);

  // Sends `request`, with a Host header if it has none, and returns the
  // complete response without the headers that concern its connection, or the
  // point at which the exchange failed. The response to HEAD keeps the stated
  // length. Opens a connection if none is open. Pass kNoSocket as
  // `cancel_socket` if nobody can cancel the exchange.
  std::variant<proxy_response, client_failure> Exchange(
      const proxy_request& request,
      time_point deadline,
      int cancel_socket);

  // Returns true if the connection is open and nothing was received on it
  // since the last exchange.
  bool IsReusable() const;

 private:
  bool process_socket(
      const Socket& socket,
      std::function<bool(httplib::Stream& stream)> library_exchange) override;

  bool Receive(exchange_stream& stream);
  // Takes the response that the end of the connection completes, if any.
  bool ReceiveEnd(const exchange_stream& stream, response_reader& reader);
  void TakeResponse(response_reader& reader);
  bool Fail(client_failure failure);

  const endpoint address_;
  const exchange_limits limits_;
  const clock& clock_;

  // State of the exchange that is under way.
  time_point deadline_;
  int cancel_socket_ = kNoSocket;
  std::string outgoing_;
  bool is_head_request_ = false;
  bool may_reuse_ = false;
  std::variant<proxy_response, client_failure> outcome_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_CLIENT_CLIENT_CONNECTION_H_

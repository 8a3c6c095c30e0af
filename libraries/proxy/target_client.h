#ifndef LIBRARIES_PROXY_TARGET_CLIENT_H_
#define LIBRARIES_PROXY_TARGET_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/http/http_message.h"
#include "libraries/http_client/client_connection.h"
#include "libraries/http_client/exchange_stream.h"
#include "libraries/proxy/outcome.h"

namespace bulrushshore {

struct target_client_options {
  exchange_limits limits;
  // Connections of this process to one target, idle ones included.
  std::size_t max_connections_per_target = 32;
  std::size_t max_idle_connections_per_target = 8;
  // Shorter than the keep-alive time of common HTTP servers (5 s), so that
  // connections are rarely closed by the target first.
  std::chrono::milliseconds max_idle_time{4000};
};

struct exchange_request {
  endpoint address;
  proxy_request message;
  time_point deadline;
  // Non-idempotent work takes a new connection: on a pooled one the target may
  // close at the moment of sending, and the outcome would be unknown.
  bool needs_new_connection = false;
  // Bound of the target itself; the smaller one of both applies.
  std::size_t max_connections = SIZE_MAX;
  // The exchange ends when the peer of this socket closes its connection.
  int cancel_socket = kNoSocket;
};

struct exchange_result {
  std::variant<proxy_response, failure_point> outcome;
  // The exchange took place on a connection that had served another one.
  bool was_connection_reused = false;
};

// Sends requests to targets over pooled connections. Thread safe.
class target_client {
 public:
  // Precondition: `source` outlives this object.
  target_client(const target_client_options& options, const clock& source);

  // Carries out one exchange; adds X-Request-Deadline-Ms. Blocks until the
  // response is complete or the exchange failed, at most until the deadline.
  exchange_result Exchange(exchange_request request);

  // Returns the number of open connections, idle ones included.
  std::size_t ConnectionCount() const;

  // Closes the idle connections.
  void CloseIdleConnections();

 private:
  struct idle_connection {
    std::unique_ptr<client_connection> connection;
    time_point since;
  };
  struct target_pool {
    std::vector<idle_connection> idle;
    std::size_t in_use = 0;
  };

  // Returns null if the target's limit is reached. The connection is open if
  // it is a pooled one.
  std::unique_ptr<client_connection> TakeConnection(
      const exchange_request& request);
  std::unique_ptr<client_connection> TakeIdle(target_pool& pool);
  void ReturnConnection(const endpoint& address,
                        std::unique_ptr<client_connection> connection);
  void CloseExpired(time_point now);

  const target_client_options options_;
  const clock& clock_;
  mutable std::mutex mutex_;
  // By the text of the address.
  std::map<std::string, target_pool, std::less<>> pools_;
  time_point last_sweep_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_TARGET_CLIENT_H_

#ifndef LIBRARIES_GATEWAY_TARGET_CONNECTION_POOL_H_
#define LIBRARIES_GATEWAY_TARGET_CONNECTION_POOL_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "libraries/base/clock.h"
#include "libraries/event_loop/http_connection.h"
#include "libraries/targets/target_entry.h"

namespace bulrushshore {

// Limits of a target_connection_pool.
struct connection_pool_options {
  http_connection::options connection;
  // Maximum number of idle connections per target.
  std::size_t max_idle = 4;
  // A connection that was idle for longer is not reused, because the target may
  // have closed it or discarded its state.
  std::chrono::milliseconds max_idle_time{4000};
  // The limit for requests that are not idempotent. It is shorter because the
  // outcome of such a request is unknown if the connection turns out to be
  // dead.
  std::chrono::milliseconds max_idle_time_non_idempotent{1500};
  // A connection is not reused in the last `keep_alive_margin` before the
  // keep-alive timeout that the target announced ends.
  std::chrono::milliseconds keep_alive_margin{1000};
  // Maximum number of bytes of responses that all connections together may
  // buffer. A response that exceeds it is given up. A host has 112 MB or more,
  // of which it needs less than 20 MB otherwise.
  std::size_t max_buffered_bytes = std::size_t{48} * 1024 * 1024;
};

// Keeps idle connections to targets for reuse. All methods are called on the
// event loop's thread. Not thread safe.
class target_connection_pool {
 public:
  // Precondition: `loop` and `time` outlive this object.
  target_connection_pool(boost::asio::io_context& loop,
                         const clock& time,
                         const connection_pool_options& options);
  ~target_connection_pool();
  target_connection_pool(const target_connection_pool&) = delete;
  target_connection_pool& operator=(const target_connection_pool&) = delete;

  // Removes an idle connection that the request may use from the pool and
  // returns it, or returns a new connection.
  std::shared_ptr<http_connection> Take(const target_entry& target,
                                        bool is_idempotent);

  // Returns a new connection.
  std::shared_ptr<http_connection> TakeNew(const target_entry& target);

  // Puts the connection back into the pool if it can be reused and the limits
  // allow it. `keep_alive_timeout` is the one that the target announced.
  void Return(const target_entry& target,
              const std::shared_ptr<http_connection>& connection,
              std::optional<std::chrono::seconds> keep_alive_timeout);

  // Closes all idle connections to a target.
  void Drop(std::string_view target_id);

  // Closes the idle connections that have expired.
  void CloseExpired();

  std::size_t idle_count() const;

  // Returns the bytes of incomplete responses on all connections.
  const byte_budget& buffered_bytes() const;

 private:
  struct idle_connection {
    std::shared_ptr<http_connection> connection;
    endpoint address;
    time_point since;
    time_point expires;
  };

  using idle_map =
      std::map<std::string, std::vector<idle_connection>, std::less<>>;

  void Remove(const std::string& target_id, const http_connection* connection);

  boost::asio::io_context& loop_;
  const clock& time_;
  connection_pool_options options_;
  idle_map idle_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_TARGET_CONNECTION_POOL_H_

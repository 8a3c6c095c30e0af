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

struct connection_pool_options {
  http_connection::options connection;
  // Idle connections kept for one target.
  std::size_t max_idle = 4;
  // A connection that was idle for longer is not used again, because the target
  // may have closed or forgotten it.
  std::chrono::milliseconds max_idle_time{4000};
  // The same for requests that are not idempotent: if such a connection turns
  // out to be dead, the outcome of the request is unknown.
  std::chrono::milliseconds max_idle_time_unsafe{1500};
  // Distance to the time at which the target announced to close.
  std::chrono::milliseconds close_margin{1000};
};

// Keeps connections to targets between requests. All calls on the event loop's
// thread. Not thread safe.
class target_connection_pool {
 public:
  // Precondition: `loop` and `time` outlive this object.
  target_connection_pool(boost::asio::io_context& loop,
                         const clock& time,
                         const connection_pool_options& options);
  ~target_connection_pool();
  target_connection_pool(const target_connection_pool&) = delete;
  target_connection_pool& operator=(const target_connection_pool&) = delete;

  // Returns an idle connection that suits the request, or a new one.
  std::shared_ptr<http_connection> Take(const target_entry& target,
                                        bool is_idempotent);

  // Keeps the connection if it can be used again.
  void Return(const target_entry& target,
              const std::shared_ptr<http_connection>& connection,
              std::optional<std::chrono::seconds> keep_alive_timeout);

  // Closes the idle connections to a target.
  void Drop(std::string_view target_id);

  // Closes the connections that were idle for too long.
  void CloseExpired();

  std::size_t idle_count() const;

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

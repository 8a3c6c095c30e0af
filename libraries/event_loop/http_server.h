#ifndef LIBRARIES_EVENT_LOOP_HTTP_SERVER_H_
#define LIBRARIES_EVENT_LOOP_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"
#include "libraries/http/http_message.h"

namespace bulrushshore {

// Answers small requests whose answers are at hand, such as readiness and
// metrics. All calls on the event loop's thread. Not thread safe.
class http_server {
 public:
  using handler = std::function<proxy_response(const proxy_request&)>;

  // Precondition: `loop` outlives this object, `handle` what it refers to.
  http_server(boost::asio::io_context& loop, handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Starts to accept connections.
  status Listen(const endpoint& address);

  // Returns the port that is listened on. Precondition: Listen() succeeded.
  std::uint16_t port() const;

 private:
  class session;

  void Accept();

  boost::asio::io_context& loop_;
  handler handle_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::unordered_set<std::shared_ptr<session>> sessions_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_EVENT_LOOP_HTTP_SERVER_H_

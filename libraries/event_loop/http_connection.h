#ifndef LIBRARIES_EVENT_LOOP_HTTP_CONNECTION_H_
#define LIBRARIES_EVENT_LOOP_HTTP_CONNECTION_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/base/clock.h"
#include "libraries/event_loop/byte_budget.h"
#include "libraries/event_loop/socket_options.h"
#include "libraries/http/http_message.h"
#include "libraries/http/response_reader.h"

namespace bulrushshore {

// How an exchange ended without a whole response.
enum class exchange_failure {
  // No connection was made, so the peer has seen nothing of the request.
  kConnectFailed,
  // The connection ended before the first byte of the response.
  kClosedBeforeResponse,
  kTruncatedResponse,
  kMalformedResponse,
};

// Returns the stable lower-case name of `failure`. Thread safe.
std::string_view ExchangeFailureName(exchange_failure failure);

using exchange_outcome = std::variant<received_response, exchange_failure>;

// A client connection that carries one exchange at a time. All calls and
// callbacks happen on the event loop's thread. Not thread safe.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  using completion = std::function<void(exchange_outcome)>;
  // Decides whether a response belongs to the present request. Others are
  // passed over, because a peer may send a second answer to an earlier one; too
  // many of them end the exchange as malformed.
  using response_filter = std::function<bool(const proxy_response&)>;

  struct options {
    std::chrono::milliseconds connect_timeout{1000};
    std::uint64_t max_response_bytes = std::uint64_t{8} * 1024 * 1024;
    silence_limits silence;
    // Limits the bytes of incomplete responses of all connections that share
    // it. Null for no limit but `max_response_bytes`.
    std::shared_ptr<byte_budget> buffered_bytes;
  };

  http_connection(boost::asio::io_context& loop,
                  const endpoint& peer,
                  const options& settings);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  // Connects unless connected, sends the request and calls `done` once, unless
  // Close() is called before. Precondition: no exchange is in progress.
  void Exchange(const proxy_request& request,
                response_filter is_expected,
                completion done);

  // Ends the connection; a pending completion is dropped.
  void Close();

  // Returns true if a further exchange may use the connection.
  bool IsReusable() const { return is_reusable_ && !is_busy_; }

  // Returns true once a connection was established.
  bool WasConnected() const { return was_connected_; }

  // Calls `lost` once when the idle connection ends or receives bytes.
  // Precondition: IsReusable().
  void WatchIdle(std::function<void()> lost);

 private:
  void Connect();
  void OnConnected(const socket_error& error);
  void Send();
  void Receive();
  void OnReceived(const socket_error& error, std::size_t size);
  // Ends the exchange after the read has failed.
  void OnReadEnded(const socket_error& error);
  // Returns true if the peer ended its side of the connection in order.
  // Precondition: no write is in progress unless the connection is still open.
  bool IsEndOfPeer(const socket_error& read_error) const;
  bool TakeExpectedResponse(response_read_state state);
  // Accounts for the bytes that the reader holds. Returns false if they exceed
  // the budget.
  bool AccountForBufferedBytes();
  void ReturnBufferedBytes();
  void Deliver(received_response response);
  void Fail(exchange_failure failure);
  // Fails after an exception of the code that processes the response.
  void FailGuarded();
  void Finish(exchange_outcome outcome);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  endpoint peer_;
  options options_;
  response_reader reader_;
  std::string outgoing_;
  response_filter is_expected_;
  completion done_;
  std::function<void()> idle_lost_;
  std::array<char, 8192> receive_buffer_{};
  // Bytes taken from the budget.
  std::size_t buffered_bytes_ = 0;
  // Number of responses passed over in the present exchange.
  int foreign_responses_ = 0;
  // Why the request could not be written as a whole.
  socket_error send_failure_;
  bool is_head_ = false;
  bool is_busy_ = false;
  bool is_reusable_ = false;
  bool was_connected_ = false;
  bool is_receiving_ = false;
  bool is_sending_ = false;
  // The read has met an end of stream on a connection that is gone, and the
  // outcome of the write will tell whether the peer sent that end.
  bool awaits_send_outcome_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_EVENT_LOOP_HTTP_CONNECTION_H_

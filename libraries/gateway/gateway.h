#ifndef LIBRARIES_GATEWAY_GATEWAY_H_
#define LIBRARIES_GATEWAY_GATEWAY_H_

#include <array>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"
#include "libraries/gateway/caller_session.h"
#include "libraries/gateway/gateway_state.h"

namespace bulrushshore {

// Accepts callers' connections and owns their sessions. A host that shuts down
// first leaves (it serves requests but asks callers to disconnect), then
// refuses new requests. All methods are called on the event loop's thread. Not
// thread safe.
class gateway : public session_owner {
 public:
  // Precondition: `state` outlives this object.
  explicit gateway(gateway_state& state);
  ~gateway() override;
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  // Starts to accept connections on `address`. Returns an error if the address
  // cannot be used.
  status Listen(const endpoint& address);

  // Makes responses from now on ask callers to close their connection, so that
  // they move to other hosts. Requests are still served.
  void BeginLeaving() { is_leaving_ = true; }

  // Refuses all requests that arrive from now on.
  void BeginRefusing() { is_refusing_ = true; }

  // Closes the connections on which no request or response is in progress.
  void CloseIdleSessions();

  // Returns the number of requests, over all sessions, that were started and
  // whose response is not sent yet. The responses that one session is sending
  // count as one.
  std::size_t UnansweredRequests() const;

  // Returns true if a caller has not acknowledged all that was sent to it.
  bool HasUnacknowledgedBytes() const;

  std::size_t session_count() const { return sessions_.size(); }

  bool IsLeaving() const override { return is_leaving_; }
  bool IsRefusing() const override { return is_refusing_; }
  std::span<char> ReceiveBuffer() override { return receive_buffer_; }
  void OnSessionClosed(const caller_session* session) override;

 private:
  using session_map = std::unordered_map<const caller_session*,
                                         std::shared_ptr<caller_session>>;

  void Accept();
  void OnAccepted(const socket_error& error,
                  boost::asio::ip::tcp::socket socket);

  gateway_state& state_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  boost::asio::steady_timer accept_timer_;
  session_map sessions_;
  // Shared by all sessions; see session_owner::ReceiveBuffer().
  std::array<char, std::size_t{32} * 1024> receive_buffer_{};
  bool is_leaving_ = false;
  bool is_refusing_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_GATEWAY_H_

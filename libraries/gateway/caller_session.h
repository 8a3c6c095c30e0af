#ifndef LIBRARIES_GATEWAY_CALLER_SESSION_H_
#define LIBRARIES_GATEWAY_CALLER_SESSION_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/event_loop/socket_options.h"
#include "libraries/gateway/exchange.h"
#include "libraries/gateway/gateway_state.h"
#include "libraries/http/request_reader.h"
#include "libraries/rules/rule_set.h"

namespace bulrushshore {

// Interface through which a session queries and notifies the object that owns
// it. All methods are called on the event loop's thread. Not thread safe.
class session_owner {
 public:
  virtual ~session_owner() = default;

  // Returns true if the host is leaving: it still serves requests, but
  // responses tell callers to close the connection so that they move to other
  // hosts.
  virtual bool IsLeaving() const = 0;

  // Returns true if new requests are refused because the process is about to
  // exit.
  virtual bool IsRefusing() const = 0;

  // Returns a buffer for received bytes that all sessions share. Its contents
  // are valid only until the session returns to the event loop.
  virtual std::span<char> ReceiveBuffer() = 0;

  // Notifies the owner that the session has closed its connection. Called once
  // per session.
  virtual void OnSessionClosed(const class caller_session* session) = 0;
};

// One HTTP/1.1 connection of a caller. Pipelined requests run concurrently if
// all of them use safe methods; otherwise they run one after another. Responses
// are sent in the order of the requests, and no request is passed on behind the
// response that closes the connection. All methods are called on the event
// loop's thread. Not thread safe.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  // Precondition: `state` and `owner` outlive this object.
  caller_session(boost::asio::ip::tcp::socket socket,
                 gateway_state& state,
                 session_owner& owner);

  // Starts to read requests. Precondition: called once, on an object held by a
  // shared_ptr.
  void Start();

  // Closes the connection unless a request is being received or is in flight,
  // or a response is being sent.
  void CloseIfIdle();

  // Closes the connection at once, even with requests in flight.
  void Close();

  // Returns the number of started requests whose response is not sent yet.
  // Several responses that are being sent together count as one.
  std::size_t UnansweredRequests() const {
    const bool is_sending = !outgoing_.empty() || !writing_.empty();
    return pending_.size() + (is_sending ? 1 : 0);
  }

  // Returns true if the caller has not acknowledged all that was sent. If the
  // process ends now, the rest may be lost: the kernel resets a closed
  // connection on which further bytes arrive.
  bool HasUnacknowledgedBytes() { return UnacknowledgedBytes(socket_) > 0; }

 private:
  struct pending_request {
    // Null if the request was refused without being forwarded.
    std::shared_ptr<exchange> running_exchange;
    std::string method;
    bool closes_connection = false;
    // The response, if it is known but must wait for the responses to earlier
    // requests.
    std::optional<proxy_response> response;
  };

  caller_limits Limits() const;
  // Runs the handler of an event; closes the connection if it throws.
  template <typename Handle>
  void HandleGuarded(const Handle& handle);
  void WaitForBytes();
  void OnReadable();
  void ReadRequests();
  void ParseAndStartRequests();
  bool MayStart(const received_request& next) const;
  void StartRequest(received_request received);
  void StartDeferredRequest();
  void RejectRequest(const request_fault& fault);
  void OnResponseReady(const std::shared_ptr<pending_request>& request,
                       proxy_response response);
  void QueueReadyResponses();
  void Write();
  void WriteRest();
  void OnWritten(const socket_error& error, std::size_t size);
  void FinishSending();
  void Linger();
  // Returns true if the caller has acknowledged bytes since the last call.
  bool HasSendProgress();
  void CloseAndAbandonRequests();
  void ArmTimer();
  void OnTimer();
  bool IsIdle() const;

  boost::asio::ip::tcp::socket socket_;
  gateway_state& state_;
  session_owner& owner_;
  boost::asio::steady_timer timer_;
  request_reader reader_;
  std::deque<std::shared_ptr<pending_request>> pending_;
  // A request that was read but may not run concurrently with `pending_`.
  std::optional<received_request> deferred_request_;
  // Bytes to send once the write in progress has finished.
  std::string outgoing_;
  // Bytes of the write in progress; empty if there is none.
  std::string writing_;
  // Bytes of `writing_` that were written.
  std::size_t written_bytes_ = 0;
  // Result of the last check of HasSendProgress().
  std::size_t unacknowledged_bytes_ = 0;
  time_point last_activity_;
  time_point request_began_;
  bool is_waiting_for_bytes_ = false;
  bool is_reading_requests_ = false;
  // True once the last request of this connection was read. Later bytes are
  // read but not parsed.
  bool is_last_request_read_ = false;
  // The response that closes the connection was queued; later ones are dropped.
  bool is_last_response_queued_ = false;
  bool is_closed_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_CALLER_SESSION_H_

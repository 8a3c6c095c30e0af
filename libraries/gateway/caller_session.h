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

#include "libraries/gateway/exchange.h"
#include "libraries/gateway/gateway_state.h"
#include "libraries/http/request_reader.h"
#include "libraries/rules/rule_set.h"

namespace bulrushshore {

// What a session needs from its gateway. All calls on the event loop's thread.
class session_owner {
 public:
  virtual ~session_owner() = default;

  // Returns true if answers should tell callers to close their connection.
  virtual bool IsLeaving() const = 0;

  // Returns true if new requests are refused because the process ends soon.
  virtual bool IsRefusing() const = 0;

  // Returns a buffer for received bytes. Its contents last until the session
  // returns to the event loop.
  virtual std::span<char> ReceiveBuffer() = 0;

  // The session has ended.
  virtual void OnSessionClosed(const class caller_session* session) = 0;
};

// One connection of a caller. Requests that arrive behind others run at the
// same time as far as they are safe methods, and are answered in order. All
// calls on the event loop's thread. Not thread safe.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  // Precondition: `state` and `owner` outlive this object.
  caller_session(boost::asio::ip::tcp::socket socket,
                 gateway_state& state,
                 session_owner& owner);

  // Begins to read. Precondition: called once, on an object held by a
  // shared_ptr.
  void Start();

  // Closes the connection unless a request is in progress.
  void CloseIfIdle();

  // Closes the connection whatever it does.
  void Close();

  // Returns the requests that were read and not answered yet.
  std::size_t UnansweredRequests() const { return pending_.size(); }

 private:
  struct pending_request {
    std::shared_ptr<exchange> work;
    std::string method;
    bool closes_connection = false;
    std::optional<proxy_response> response;
  };

  caller_limits Limits() const;
  void WaitForBytes();
  void OnReadable();
  void ReadRequests();
  void TakeRequests();
  bool MayStart(const received_request& next) const;
  void StartRequest(received_request received);
  void AnswerFault(const request_fault& fault);
  void OnAnswered(const std::shared_ptr<pending_request>& request,
                  proxy_response response);
  void QueueAnswers();
  void Write();
  void OnWritten(const socket_error& error);
  void FinishSending();
  void OnPeerGone();
  void ArmTimer();
  void OnTimer();
  bool IsIdle() const;

  boost::asio::ip::tcp::socket socket_;
  gateway_state& state_;
  session_owner& owner_;
  boost::asio::steady_timer timer_;
  request_reader reader_;
  std::deque<std::shared_ptr<pending_request>> pending_;
  std::optional<received_request> waiting_;
  std::string outgoing_;
  std::string writing_;
  time_point last_activity_;
  time_point request_began_;
  bool is_waiting_for_bytes_ = false;
  bool is_reading_requests_ = false;
  // No further request is taken from the connection.
  bool is_last_request_read_ = false;
  bool is_sending_done_ = false;
  bool is_closed_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_CALLER_SESSION_H_

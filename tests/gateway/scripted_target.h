#ifndef TESTS_GATEWAY_SCRIPTED_TARGET_H_
#define TESTS_GATEWAY_SCRIPTED_TARGET_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/base/endpoint.h"
#include "libraries/http/http_message.h"
#include "libraries/http/request_reader.h"

namespace bulrushshore {

// How a scripted target reacts to a request.
struct scripted_reply {
  // Sent unchanged; nothing is sent if empty.
  std::string bytes;
  // Sent some milliseconds after `bytes`; nothing is sent if empty.
  std::string next_bytes{};
  // Sent after `bytes` again and again, until the other side closes the
  // connection; nothing is sent if empty.
  std::string endless_bytes{};
  std::chrono::milliseconds delay{0};
  bool closes_after = false;
  // Ends the connection with a TCP reset instead of a normal close. Has an
  // effect only if `closes_after` is set.
  bool resets = false;
};

// A target on the loopback interface that replies with what a test's script
// returns. Runs on the test's event loop. Not thread safe.
class scripted_target {
 public:
  using script = std::function<scripted_reply(const proxy_request&)>;

  // Listens on a free port. Precondition: `loop` outlives this object.
  scripted_target(boost::asio::io_context& loop, script reply);
  ~scripted_target();
  scripted_target(const scripted_target&) = delete;
  scripted_target& operator=(const scripted_target&) = delete;

  endpoint address() const;
  const std::vector<proxy_request>& requests() const { return requests_; }
  int connections_accepted() const { return connections_accepted_; }
  // Number of connections that the other side closed before a reply was sent.
  int connections_closed_before_reply() const {
    return connections_closed_before_reply_;
  }

  // Returns the reply of a healthy target: status 200 with the attempt id of
  // the request and a signature.
  static scripted_reply Success(const proxy_request& request,
                                std::string_view body = "ok");

 private:
  struct connection;

  void Accept();
  void Receive(const std::shared_ptr<connection>& peer);
  void Reply(const std::shared_ptr<connection>& peer,
             const scripted_reply& reply);
  void SendNext(const std::shared_ptr<connection>& peer,
                const scripted_reply& reply);
  void End(const std::shared_ptr<connection>& peer,
           const scripted_reply& reply);

  boost::asio::io_context& loop_;
  script reply_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<proxy_request> requests_;
  std::vector<std::shared_ptr<connection>> connections_;
  void SendEndlessly(const std::shared_ptr<connection>& peer,
                     const std::string& bytes);

  int connections_accepted_ = 0;
  int connections_closed_before_reply_ = 0;
};

}  // namespace bulrushshore

#endif  // TESTS_GATEWAY_SCRIPTED_TARGET_H_

#ifndef TESTS_PROXY_SOCKET_PEER_H_
#define TESTS_PROXY_SOCKET_PEER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bulrushshore {

// A TCP connection that tests drive byte by byte. Not thread safe.
class raw_connection {
 public:
  explicit raw_connection(int socket) : socket_(socket) {}
  raw_connection(raw_connection&& other) noexcept;
  ~raw_connection();

  // Connects to 127.0.0.1:`port`.
  static raw_connection To(std::uint16_t port);

  void Send(std::string_view data);

  // Waits until the peer's system has received everything that was sent.
  void WaitUntilDelivered() const;

  // Receives up to the end of a message with Content-Length; returns what came
  // before the peer closed the connection if that happens first.
  std::string ReceiveMessage();

  // Receives until the peer closes the connection.
  std::string ReceiveAll();

  // Waits until the peer closes the connection; returns true if it is still
  // open after `limit`.
  bool WaitForClose(std::chrono::milliseconds limit) const;

  // Ends the connection with a reset instead of an orderly close.
  void Reset();

  void Close();

 private:
  bool ReceiveSome();

  int socket_;
  std::string buffer_;
};

// A target that runs one script for each accepted connection, in order, each on
// a thread of its own; further connections use the last script.
class scripted_target {
 public:
  using script = std::function<void(raw_connection&)>;

  explicit scripted_target(std::vector<script> scripts);
  ~scripted_target();

  std::uint16_t port() const { return port_; }
  int connections() const { return connections_; }

  // Returns the requests that scripts recorded with Record().
  std::vector<std::string> Requests() const;

  // Receives one request and remembers it.
  std::string Record(raw_connection& connection);

  // Returns a script that answers every request on its connection with
  // `response`.
  script Answer(std::string response);

 private:
  void Accept();

  std::vector<script> scripts_;
  int listening_socket_;
  std::uint16_t port_;
  std::atomic<int> connections_ = 0;
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<std::thread> threads_;
  std::thread accept_thread_;
};

// Returns a response with Content-Length.
std::string PlainResponse(int status,
                          std::string_view body,
                          std::string_view extra_headers = "");

// Returns a port on which nothing listens.
std::uint16_t ClosedPort();

}  // namespace bulrushshore

#endif  // TESTS_PROXY_SOCKET_PEER_H_

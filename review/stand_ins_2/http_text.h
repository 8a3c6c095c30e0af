#ifndef REVIEW_STAND_INS_2_HTTP_TEXT_H_
#define REVIEW_STAND_INS_2_HTTP_TEXT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

// An address on a loopback interface.
struct address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// One HTTP/1.1 message. `first` and `second` are the first two words of the
// start line: method and path, or protocol and status.
struct http_text {
  std::string first;
  std::string second;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the value of a header, or an empty text.
  std::string Header(std::string_view name) const;
  int Status() const;
};

enum class read_result { kMessage, kTimeout, kClosed };

// A TCP connection with blocking reads that have a time limit. Owns its socket.
class stream {
 public:
  stream() = default;
  explicit stream(int socket) : socket_(socket) {}
  ~stream() { Close(); }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  // Connects within `limit`. Returns false if that fails.
  bool Connect(const address& peer, milliseconds limit);
  bool IsOpen() const { return socket_ >= 0; }
  bool Write(std::string_view bytes) const;
  // Reads one message. A message without length has no body.
  read_result Read(http_text& message, steady::time_point until);
  // Ends the connection for its reader, too; the socket stays owned.
  void Shutdown() const;
  // From now on, what is written is dropped, as on a connection that has gone
  // silent.
  void Silence() { is_silent_ = true; }
  void Close();

 private:
  // Returns false after the time limit or at the end, which sets `is_ended_`.
  bool Fill(steady::time_point until);

  int socket_ = -1;
  std::string buffer_;
  bool is_ended_ = false;
  std::atomic<bool> is_silent_{false};
};

// Returns a listening socket, or -1. Port 0 takes a free one, which is stored.
int ListenOn(address& at);

// Returns the next connection within 50 ms, or -1.
int AcceptFrom(int listener);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_HTTP_TEXT_H_

#ifndef LIBRARIES_PROXY_EXCHANGE_STREAM_H_
#define LIBRARIES_PROXY_EXCHANGE_STREAM_H_

#include <cstddef>
#include <string>

#include <httplib.h>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Marks the absence of a file descriptor.
inline constexpr int kNoSocket = -1;

// Why a socket could not go on with an exchange.
enum class stream_end {
  kNone,
  // The peer closed or reset the connection.
  kClosed,
  kDeadline,
  // The caller of the request is gone.
  kCancelled,
  kHeadTooLarge,
};

// What became of one exchange on a connection.
struct exchange_progress {
  bool is_connected = false;
  std::size_t bytes_sent = 0;
  std::size_t bytes_received = 0;
  bool is_head_complete = false;
  // The peer sent more than the response.
  bool has_excess_bytes = false;
  stream_end end = stream_end::kNone;
};

// Waits until `socket` is ready for `events` (as in poll(2)). Returns kNone
// when it is, kDeadline, or kCancelled when the peer of `cancel_socket` (may be
// kNoSocket) closes its connection. Thread safe.
stream_end WaitForSocket(int socket,
                         short events,
                         int cancel_socket,
                         const clock& source,
                         time_point deadline);

// A connected socket during one exchange with a target. In contrast to the
// library's own stream, the deadline covers the exchange as a whole, so that a
// target that sends single bytes cannot extend it. Not thread safe.
class exchange_stream : public httplib::Stream {
 public:
  struct bounds {
    time_point deadline;
    int cancel_socket = kNoSocket;
    std::size_t max_head_bytes = 0;
  };

  // Preconditions: the references outlive this object; `socket` is connected
  // and stays open.
  exchange_stream(int socket,
                  const clock& source,
                  bounds limits,
                  exchange_progress& progress);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override;

  // Returns true if bytes were received that no one has read.
  bool HasUnreadBytes() const;

 private:
  bool Fail(stream_end end);
  bool Fill();

  const int socket_;
  const clock& clock_;
  const bounds bounds_;
  exchange_progress& progress_;
  std::string buffer_;
  std::size_t buffer_position_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_EXCHANGE_STREAM_H_

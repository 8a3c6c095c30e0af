#ifndef LIBRARIES_HTTP_CLIENT_EXCHANGE_STREAM_H_
#define LIBRARIES_HTTP_CLIENT_EXCHANGE_STREAM_H_

#include <array>
#include <cstddef>
#include <string_view>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Marks the absence of a file descriptor.
inline constexpr int kNoSocket = -1;

// Why a socket could not go on with an exchange.
enum class stream_end {
  kNone,
  // The peer ended its side of the connection in order.
  kClosed,
  // The connection failed, for example by a reset.
  kLost,
  kDeadline,
  // The caller of the request is gone.
  kCancelled,
};

// Waits until `socket` is ready for `events` (as in poll(2)). Returns kNone
// when it is, kDeadline, or kCancelled when the peer of `cancel_socket` (may be
// kNoSocket) closes its connection. Thread safe.
stream_end WaitForSocket(int socket,
                         short events,
                         int cancel_socket,
                         const clock& source,
                         time_point deadline);

// A connected socket during one exchange. The deadline covers the exchange as a
// whole, so that a peer that sends single bytes cannot extend it. Not thread
// safe.
class exchange_stream {
 public:
  // Preconditions: `source` outlives this object; `socket` is connected and
  // stays open. `cancel_socket` may be kNoSocket.
  exchange_stream(int socket,
                  const clock& source,
                  time_point deadline,
                  int cancel_socket);

  // Waits for bytes and returns them; they are valid until the next call.
  // Returns nothing if end() says why none can be read.
  std::string_view Read();

  // Returns true if all of `data` was written; otherwise end() says why not.
  bool Write(std::string_view data);

  stream_end end() const { return end_; }
  std::size_t bytes_sent() const { return bytes_sent_; }
  std::size_t bytes_received() const { return bytes_received_; }

 private:
  static constexpr std::size_t kBufferBytes = std::size_t{16} * 1024;

  bool WaitFor(short events);

  const int socket_;
  const clock& clock_;
  const time_point deadline_;
  const int cancel_socket_;
  std::array<char, kBufferBytes> buffer_;
  stream_end end_ = stream_end::kNone;
  std::size_t bytes_sent_ = 0;
  std::size_t bytes_received_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_CLIENT_EXCHANGE_STREAM_H_

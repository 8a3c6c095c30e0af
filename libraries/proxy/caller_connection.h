#ifndef LIBRARIES_PROXY_CALLER_CONNECTION_H_
#define LIBRARIES_PROXY_CALLER_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "libraries/base/clock.h"
#include "libraries/http/http_message.h"
#include "libraries/http_client/exchange_stream.h"
#include "libraries/proxy/outcome.h"
#include "libraries/proxy/request_head.h"

namespace bulrushshore {

struct caller_limits {
  // Longest time between two requests on one connection.
  std::chrono::milliseconds idle_time{2000};
  // Longest time from the first byte of a request to its empty line.
  std::chrono::milliseconds head_time{5000};
  std::chrono::milliseconds body_time{10'000};
  // Time that the arrival of a request has in any case. Behind it the arrival
  // is ended as soon as another connection waits for a thread.
  std::chrono::milliseconds contended_read_time{1000};
  // Time between two checks whether another connection waits.
  std::chrono::milliseconds contention_check_interval{100};
  std::chrono::milliseconds write_time{10'000};
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
};

// The peer closed the connection, or sent nothing within the idle time.
struct connection_ended {};

// Tells whether connections wait for a thread. Implementations are thread safe.
class contention_source {
 public:
  virtual ~contention_source() = default;
  virtual bool HasWaitingConnections() const = 0;
};

// A connection from a caller. It frames messages itself, because cpp-httplib's
// server interprets what a proxy has to pass on unchanged: it decodes
// compressed and multipart bodies, cuts ranges out of responses, compresses
// them, and accepts repeated Content-Length fields. Not thread safe.
class caller_connection {
 public:
  // Preconditions: the references outlive this object; `socket` stays open as
  // long as this object and is not closed by it.
  caller_connection(int socket,
                    const caller_limits& limits,
                    const clock& source,
                    const contention_source& contention);

  // Waits until the first byte of a request is there, at most for the idle
  // time; returns false if none came. The wait also ends when the peer of
  // `wake_socket` (may be kNoSocket) shuts down; a request that has begun to
  // arrive by then is still announced.
  bool WaitForRequest(int wake_socket);

  // Reads a whole request, and gives up a slow one early when other connections
  // wait for the thread. After a failure_point the connection must be closed,
  // because the end of the request is not known.
  std::variant<request_head, failure_point, connection_ended> ReadRequest();

  // Writes a response framed by Content-Length; returns false if the peer did
  // not take it. `method` is that of the request.
  bool WriteResponse(const proxy_response& response,
                     std::string_view method,
                     bool is_last);

  // Ends the sending side and discards what still arrives for a short time, so
  // that the peer can read the last response before a reset.
  void FinishSending();

 private:
  using failure = std::optional<failure_point>;

  // Receives more bytes into the buffer; false at the end, at the deadline, or
  // when the peer of `wake_socket` shuts down.
  bool Receive(time_point deadline, int wake_socket = kNoSocket);
  // As Receive(), but also false once the request must give way to waiting
  // connections.
  bool ReceiveRequestBytes(time_point deadline);
  bool MustGiveWay() const;
  bool Send(std::string_view data, time_point deadline);
  failure ReadBody(request_head& head);
  failure ReadSizedBody(std::uint64_t size,
                        time_point deadline,
                        std::string& body);
  failure ReadChunkedBody(time_point deadline, std::string& body);
  // Returns the next line without CRLF, or nothing if it is faulty or late.
  std::optional<std::string> ReadLine(time_point deadline);
  bool SkipTrailers(time_point deadline);

  const int socket_;
  const caller_limits limits_;
  const clock& clock_;
  const contention_source& contention_;
  time_point reading_since_;
  bool has_given_way_ = false;
  std::string buffer_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_CALLER_CONNECTION_H_

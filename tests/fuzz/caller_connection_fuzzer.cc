#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <variant>

#include "libraries/base/clock.h"
#include "libraries/proxy/caller_connection.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

// Fits into the buffer of a socket pair, so that one thread writes and reads.
constexpr std::size_t kMaxInputBytes = 65'536;

void CheckBody(const request_head& head, const caller_limits& limits) {
  Require(head.request.body.size() <= limits.max_body_bytes,
          "a body keeps its bound");
  Require(head.is_chunked || head.request.body.size() == head.content_length,
          "a body has the stated length");
}

class no_contention : public contention_source {
 public:
  bool HasWaitingConnections() const override { return false; }
};

void ReadAll(int socket) {
  caller_limits limits;
  limits.max_body_bytes = 4096;
  const manual_clock time;
  const no_contention contention;
  caller_connection connection(socket, limits, time, contention);
  while (connection.WaitForRequest(kNoSocket)) {
    const std::variant<request_head, failure_point, connection_ended> read =
        connection.ReadRequest();
    const request_head* head = std::get_if<request_head>(&read);
    if (head == nullptr) {
      return;
    }
    CheckBody(*head, limits);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size > kMaxInputBytes) {
    return 0;
  }
  std::array<int, 2> sockets{};
  Require(
      socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets.data()) == 0,
      "a socket pair is available");
  Require(
      send(sockets[0], data, size, MSG_NOSIGNAL) == static_cast<ssize_t>(size),
      "the input fits into the socket");
  shutdown(sockets[0], SHUT_WR);
  ReadAll(sockets[1]);
  close(sockets[0]);
  close(sockets[1]);
  return 0;
}

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>
#include <variant>

#include "libraries/base/clock.h"
#include "libraries/http_client/client_connection.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

constexpr std::size_t kMaxInputBytes = 65'536;

// A target that answers one connection with the input. A proxy must not read
// beyond what the target sends, so the sending side ends behind the input.
class one_response_target {
 public:
  one_response_target() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address_);
    const bool is_listening = bind(listener_, Address(), length) == 0 &&
                              listen(listener_, 1) == 0 &&
                              getsockname(listener_, Address(), &length) == 0;
    Require(is_listening, "a port of the loopback address is available");
  }

  endpoint Endpoint() const { return {"127.0.0.1", ntohs(address_.sin_port)}; }

  void Answer(std::string_view response) const {
    const int connection = accept(listener_, nullptr, nullptr);
    Require(connection >= 0, "the target is connected");
    ReadHead(connection);
    (void)send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    shutdown(connection, SHUT_WR);
    std::array<char, 1024> rest{};
    while (recv(connection, rest.data(), rest.size(), 0) > 0) {
    }
    close(connection);
  }

 private:
  sockaddr* Address() { return reinterpret_cast<sockaddr*>(&address_); }

  // Unread bytes would turn the close into a reset that discards the response.
  static void ReadHead(int connection) {
    std::string head;
    std::array<char, 1024> bytes{};
    while (head.find("\r\n\r\n") == std::string::npos) {
      const ssize_t count = recv(connection, bytes.data(), bytes.size(), 0);
      if (count <= 0) {
        return;
      }
      head.append(bytes.data(), static_cast<std::size_t>(count));
    }
  }

  const int listener_;
  sockaddr_in address_{};
};

void CheckResponse(const proxy_response& response,
                   const exchange_limits& limits) {
  Require(response.status >= 200 && response.status <= 599,
          "a response is a final one");
  Require(response.body.size() <= limits.max_body_bytes,
          "a body keeps its bound");
  const std::size_t lengths = response.headers.Count("Content-Length");
  const std::size_t codings = response.headers.Count("Transfer-Encoding");
  Require(lengths + codings <= 1, "a response states one length at most");
  const bool has_no_body = response.status == 204 || response.status == 304;
  if (has_no_body || lengths == 0) {
    return;
  }
  Require(ParseDecimal(*response.headers.Find("Content-Length")) ==
              response.body.size(),
          "a body has the stated length");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size > kMaxInputBytes) {
    return 0;
  }
  static const one_response_target target;
  const manual_clock time;
  exchange_limits limits;
  limits.max_body_bytes = 4096;
  std::thread answering([&] { target.Answer(FuzzText(data, size)); });
  {
    client_connection connection(target.Endpoint(), limits, time);
    proxy_request request;
    request.method = "GET";
    request.target = "/";
    request.headers.Add("Host", "target");
    const std::variant<proxy_response, client_failure> outcome =
        connection.Exchange(request, time.Now() + std::chrono::seconds(5),
                            kNoSocket);
    if (const proxy_response* response =
            std::get_if<proxy_response>(&outcome)) {
      CheckResponse(*response, limits);
    }
  }
  answering.join();
  return 0;
}

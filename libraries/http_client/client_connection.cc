#include "libraries/http_client/client_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "libraries/http/message_writer.h"

namespace bulrushshore {
namespace {

void SetIntegerOption(int socket, int level, int name, int value) {
  // A missing option costs only the early detection of silent connections.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

// Makes the kernel give up on a peer that acknowledges nothing. A slow server
// is not affected, since its kernel acknowledges data and keep-alive probes.
void DetectSilentPeer(int socket, std::chrono::milliseconds limit) {
  constexpr int kSecondsBetweenProbes = 1;
  SetIntegerOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetIntegerOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kSecondsBetweenProbes);
  SetIntegerOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kSecondsBetweenProbes);
  SetIntegerOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(limit.count()));
}

std::string Serialize(const proxy_request& request, const endpoint& address) {
  if (request.headers.Find("Host").has_value()) {
    return SerializeRequest(request);
  }
  proxy_request completed = request;
  completed.headers.Add("Host", FormatEndpoint(address));
  return SerializeRequest(completed);
}

client_failure FailureOf(const exchange_stream& stream) {
  if (stream.bytes_sent() == 0) {
    return client_failure::kNothingSent;
  }
  switch (stream.end()) {
    case stream_end::kDeadline:
      return client_failure::kResponseTimeout;
    case stream_end::kCancelled:
      return client_failure::kCancelled;
    case stream_end::kNone:
    case stream_end::kClosed:
    case stream_end::kLost:
      break;
  }
  return stream.bytes_received() > 0 ? client_failure::kClosedDuringResponse
                                     : client_failure::kClosedBeforeResponse;
}

}  // namespace

std::string_view ClientFailureName(client_failure failure) {
  switch (failure) {
    case client_failure::kConnectFailed:
      return "connect_failed";
    case client_failure::kNothingSent:
      return "nothing_sent";
    case client_failure::kClosedBeforeResponse:
      return "closed_before_response";
    case client_failure::kClosedDuringResponse:
      return "closed_during_response";
    case client_failure::kResponseTimeout:
      return "response_timeout";
    case client_failure::kCancelled:
      return "cancelled";
    case client_failure::kResponseMalformed:
      return "response_malformed";
    case client_failure::kResponseTooLarge:
      return "response_too_large";
    case client_failure::kResponseUnframed:
      return "response_unframed";
  }
  return "unknown";
}

client_connection::client_connection(const endpoint& address,
                                     const exchange_limits& limits,
                                     const clock& source)
    : httplib::ClientImpl(address.ip, address.port),
      address_(address),
      limits_(limits),
      clock_(source) {
  set_keep_alive(true);
  set_tcp_nodelay(true);
  if (limits.unacknowledged_timeout > std::chrono::milliseconds(0)) {
    set_socket_options([limit = limits.unacknowledged_timeout](int socket) {
      DetectSilentPeer(socket, limit);
    });
  }
}

std::variant<proxy_response, client_failure> client_connection::Exchange(
    const proxy_request& request,
    time_point deadline,
    int cancel_socket) {
  const duration remaining = deadline - clock_.Now();
  if (remaining <= duration::zero()) {
    return client_failure::kNothingSent;
  }
  set_connection_timeout(
      std::min<duration>(remaining, limits_.connect_timeout));
  deadline_ = deadline;
  cancel_socket_ = cancel_socket;
  outgoing_ = Serialize(request, address_);
  is_head_request_ = request.method == "HEAD";
  may_reuse_ = false;
  outcome_ = client_failure::kConnectFailed;
  httplib::Request unused_request;
  httplib::Response unused_response;
  httplib::Error unused_error = httplib::Error::Success;
  // Calls process_socket() once a connection is open, and closes it if that
  // returns false.
  (void)send(unused_request, unused_response, unused_error);
  return std::move(outcome_);
}

bool client_connection::IsReusable() const {
  if (!may_reuse_ || is_socket_open() == 0) {
    return false;
  }
  pollfd entry = {socket(), POLLIN | POLLRDHUP, 0};
  return poll(&entry, 1, 0) == 0;
}

bool client_connection::process_socket(
    const Socket& socket,
    std::function<bool(httplib::Stream& stream)> /*library_exchange*/) {
  exchange_stream stream(socket.sock, clock_, deadline_, cancel_socket_);
  return stream.Write(outgoing_) ? Receive(stream) : Fail(FailureOf(stream));
}

bool client_connection::Receive(exchange_stream& stream) {
  response_reader reader(limits_.max_body_bytes, limits_.max_head_bytes);
  reader.Start(is_head_request_);
  while (true) {
    const std::string_view bytes = stream.Read();
    if (bytes.empty()) {
      return ReceiveEnd(stream, reader);
    }
    switch (reader.Feed(bytes)) {
      case response_read_state::kComplete:
        TakeResponse(reader);
        return true;
      case response_read_state::kMalformed:
        return Fail(reader.IsTooLarge() ? client_failure::kResponseTooLarge
                                        : client_failure::kResponseMalformed);
      case response_read_state::kIncomplete:
        break;
    }
    if (reader.EndsWithConnection() && !limits_.accepts_unframed) {
      return Fail(client_failure::kResponseUnframed);
    }
  }
}

bool client_connection::ReceiveEnd(const exchange_stream& stream,
                                   response_reader& reader) {
  const bool is_complete =
      stream.end() == stream_end::kClosed && reader.EndsWithConnection() &&
      reader.FinishAtEnd() == response_read_state::kComplete;
  if (!is_complete) {
    return Fail(FailureOf(stream));
  }
  TakeResponse(reader);
  may_reuse_ = false;
  return true;
}

void client_connection::TakeResponse(response_reader& reader) {
  received_response received = reader.TakeResponse();
  may_reuse_ = received.is_keep_alive && !reader.HasExtraBytes();
  if (is_head_request_ && received.stated_length) {
    received.response.headers.Add("Content-Length",
                                  std::to_string(*received.stated_length));
  }
  outcome_ = std::move(received.response);
}

bool client_connection::Fail(client_failure failure) {
  outcome_ = failure;
  return false;
}

}  // namespace bulrushshore

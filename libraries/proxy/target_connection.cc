#include "libraries/proxy/target_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

constexpr int kNotModified = 304;
constexpr int kNoContent = 204;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

void SetIntegerOption(int socket, int level, int name, int value) {
  // A missing option costs only the early detection of silent connections.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
}

// Makes the kernel give up on a peer that acknowledges nothing. A slow target
// is not affected, since its kernel acknowledges data and keep-alive probes.
void DetectSilentPeer(int socket, std::chrono::milliseconds limit) {
  constexpr int kSecondsBetweenProbes = 1;
  SetIntegerOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetIntegerOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kSecondsBetweenProbes);
  SetIntegerOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kSecondsBetweenProbes);
  SetIntegerOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(limit.count()));
}

enum class framing { kNone, kLength, kChunked, kFaulty };

framing FramingOf(const httplib::Response& response) {
  const std::size_t lengths = response.get_header_value_count("Content-Length");
  const std::size_t codings =
      response.get_header_value_count("Transfer-Encoding");
  if (lengths + codings > 1) {
    return framing::kFaulty;
  }
  if (codings == 1) {
    const bool is_chunked = EqualsIgnoringCase(
        response.get_header_value("Transfer-Encoding"), "chunked");
    return is_chunked ? framing::kChunked : framing::kFaulty;
  }
  if (lengths == 0) {
    return framing::kNone;
  }
  const bool is_number =
      ParseDecimal(response.get_header_value("Content-Length")).has_value();
  return is_number ? framing::kLength : framing::kFaulty;
}

bool HasBody(int status, bool is_head_request) {
  return !is_head_request && status != kNoContent && status != kNotModified;
}

httplib::Request ToLibraryRequest(const proxy_request& request) {
  httplib::Request converted;
  converted.method = request.method;
  converted.path = request.target;
  converted.body = request.body;
  for (const http_header& field : request.headers.fields()) {
    converted.headers.emplace(field.name, field.value);
  }
  return converted;
}

}  // namespace

target_connection::target_connection(const endpoint& address,
                                     const exchange_limits& limits,
                                     const clock& source)
    : httplib::ClientImpl(address.ip, address.port),
      limits_(limits),
      clock_(source) {
  set_keep_alive(true);
  set_follow_location(false);
  set_decompress(false);
  set_url_encode(false);
  set_tcp_nodelay(true);
  set_socket_options([limit = limits.unacknowledged_timeout](int socket) {
    DetectSilentPeer(socket, limit);
  });
}

std::variant<proxy_response, failure_point> target_connection::Exchange(
    const proxy_request& request,
    time_point deadline,
    int cancel_socket) {
  const duration remaining = deadline - clock_.Now();
  if (remaining <= duration::zero()) {
    return failure_point::kNothingSent;
  }
  set_connection_timeout(
      std::min<duration>(remaining, limits_.connect_timeout));
  deadline_ = deadline;
  cancel_socket_ = cancel_socket;
  progress_ = {};
  is_head_request_ = request.method == "HEAD";
  is_complete_without_body_ = false;
  may_reuse_ = false;
  fault_.reset();
  head_ = {};
  body_.clear();

  httplib::Request outgoing = ToLibraryRequest(request);
  outgoing.response_handler = [this](const httplib::Response& response) {
    return OnHead(response);
  };
  outgoing.content_receiver = [this](const char* data, std::size_t size,
                                     std::uint64_t, std::uint64_t) {
    return OnBody(data, size);
  };
  httplib::Response received;
  httplib::Error library_error = httplib::Error::Success;
  bool is_complete = send(outgoing, received, library_error);
  if (is_complete && !progress_.is_head_complete) {
    // The library calls the handler only for responses that have a body.
    is_complete = OnHead(received);
  }
  if (!is_complete && !is_complete_without_body_) {
    return FindFailure();
  }
  may_reuse_ = is_complete && !progress_.has_excess_bytes;
  return TakeResponse();
}

bool target_connection::IsReusable() const {
  if (!may_reuse_ || is_socket_open() == 0) {
    return false;
  }
  pollfd entry = {socket(), POLLIN | POLLRDHUP, 0};
  return poll(&entry, 1, 0) == 0;
}

bool target_connection::process_socket(
    const Socket& socket,
    std::function<bool(httplib::Stream& stream)> callback) {
  progress_.is_connected = true;
  exchange_stream stream(socket.sock, clock_,
                         {deadline_, cancel_socket_, limits_.max_head_bytes},
                         progress_);
  const bool is_successful = callback(stream);
  progress_.has_excess_bytes = stream.HasUnreadBytes();
  return is_successful;
}

bool target_connection::OnHead(const httplib::Response& response) {
  progress_.is_head_complete = true;
  head_ = response;
  if (response.status < kFirstFinalStatus || response.status > kLastStatus) {
    fault_ = failure_point::kResponseMalformed;
    return false;
  }
  const framing found = FramingOf(response);
  if (found == framing::kFaulty) {
    fault_ = failure_point::kResponseMalformed;
    return false;
  }
  if (!HasBody(response.status, is_head_request_)) {
    // cpp-httplib would wait for a body after 304; ending the exchange here
    // costs the connection.
    is_complete_without_body_ = response.status == kNotModified;
    return !is_complete_without_body_;
  }
  if (found == framing::kNone) {
    fault_ = failure_point::kResponseUnframed;
    return false;
  }
  if (found == framing::kLength &&
      *ParseDecimal(response.get_header_value("Content-Length")) >
          limits_.max_body_bytes) {
    fault_ = failure_point::kResponseTooLarge;
    return false;
  }
  return true;
}

bool target_connection::OnBody(const char* data, std::size_t size) {
  if (body_.size() + size > limits_.max_body_bytes) {
    fault_ = failure_point::kResponseTooLarge;
    return false;
  }
  body_.append(data, size);
  return true;
}

failure_point target_connection::FindFailure() const {
  if (!progress_.is_connected) {
    return failure_point::kConnectFailed;
  }
  if (fault_.has_value()) {
    return *fault_;
  }
  if (progress_.bytes_sent == 0) {
    return failure_point::kNothingSent;
  }
  switch (progress_.end) {
    case stream_end::kDeadline:
      return failure_point::kResponseTimeout;
    case stream_end::kCancelled:
      return failure_point::kCancelled;
    case stream_end::kHeadTooLarge:
      return failure_point::kResponseTooLarge;
    case stream_end::kNone:
      return failure_point::kResponseMalformed;
    case stream_end::kClosed:
      break;
  }
  return progress_.bytes_received > 0 ? failure_point::kClosedDuringResponse
                                      : failure_point::kClosedBeforeResponse;
}

proxy_response target_connection::TakeResponse() {
  proxy_response response;
  response.status = head_.status;
  for (const httplib::Headers::value_type& field : head_.headers) {
    response.headers.Add(field.first, field.second);
  }
  response.body = std::move(body_);
  return response;
}

}  // namespace bulrushshore

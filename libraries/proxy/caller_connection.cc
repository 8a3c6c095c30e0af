#include "libraries/proxy/caller_connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace bulrushshore {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kReceiveBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxChunkLineBytes = 256;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool IsSafeField(const http_header& field) {
  return std::none_of(
      field.value.begin(), field.value.end(), [](char character) {
        return character == '\r' || character == '\n' || character == '\0';
      });
}

std::string FormatHead(const proxy_response& response,
                       std::string_view method,
                       bool is_last) {
  // The reason phrase is optional and carries no meaning (RFC 9112, section 4).
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " \r\n";
  for (const http_header& field : response.headers.fields()) {
    if (IsSafeField(field)) {
      head += field.name + ": " + field.value + "\r\n";
    }
  }
  const bool is_framed = method == "HEAD" || response.status == kNoContent ||
                         response.status == kNotModified;
  if (!is_framed) {
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  }
  if (is_last) {
    head += "Connection: close\r\n";
  }
  return head + "\r\n";
}

std::optional<std::uint64_t> ParseChunkSize(std::string_view line) {
  const std::string_view digits =
      TrimWhitespace(line.substr(0, line.find(';')));
  std::uint64_t size = 0;
  const char* const end = digits.data() + digits.size();
  const std::from_chars_result parsed =
      std::from_chars(digits.data(), end, size, 16);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return size;
}

}  // namespace

caller_connection::caller_connection(int socket,
                                     const caller_limits& limits,
                                     const clock& source,
                                     const contention_source& contention)
    : socket_(socket),
      limits_(limits),
      clock_(source),
      contention_(contention) {}

bool caller_connection::WaitForRequest(int wake_socket) {
  return !buffer_.empty() ||
         Receive(clock_.Now() + limits_.idle_time, wake_socket);
}

std::variant<request_head, failure_point, connection_ended>
caller_connection::ReadRequest() {
  reading_since_ = clock_.Now();
  const time_point deadline = reading_since_ + limits_.head_time;
  std::size_t end = buffer_.find(kHeadEnd);
  while (end == std::string::npos) {
    if (buffer_.size() > kMaxRequestHeadBytes) {
      return failure_point::kHeadTooLarge;
    }
    if (!ReceiveRequestBytes(deadline)) {
      if (clock_.Now() < deadline && !has_given_way_) {
        return connection_ended{};
      }
      return failure_point::kSenderTooSlow;
    }
    end = buffer_.find(kHeadEnd);
  }
  const std::size_t size = end + kHeadEnd.size();
  std::variant<request_head, failure_point> parsed =
      ParseRequestHead(std::string_view(buffer_.data(), size));
  buffer_.erase(0, size);
  if (const failure_point* found = std::get_if<failure_point>(&parsed)) {
    return *found;
  }
  request_head head = std::move(std::get<request_head>(parsed));
  const failure body_failure = ReadBody(head);
  if (body_failure.has_value()) {
    return *body_failure;
  }
  return head;
}

caller_connection::failure caller_connection::ReadBody(request_head& head) {
  if (head.content_length > limits_.max_body_bytes) {
    return failure_point::kBodyTooLarge;
  }
  if (!head.is_chunked && head.content_length == 0) {
    return std::nullopt;
  }
  const time_point deadline = clock_.Now() + limits_.body_time;
  if (head.expects_continue &&
      !Send("HTTP/1.1 100 Continue\r\n\r\n", deadline)) {
    return failure_point::kSenderTooSlow;
  }
  if (head.is_chunked) {
    return ReadChunkedBody(deadline, head.request.body);
  }
  return ReadSizedBody(head.content_length, deadline, head.request.body);
}

caller_connection::failure caller_connection::ReadSizedBody(std::uint64_t size,
                                                            time_point deadline,
                                                            std::string& body) {
  while (buffer_.size() < size) {
    if (!ReceiveRequestBytes(deadline)) {
      return failure_point::kSenderTooSlow;
    }
  }
  body.append(buffer_, 0, size);
  buffer_.erase(0, size);
  return std::nullopt;
}

caller_connection::failure caller_connection::ReadChunkedBody(
    time_point deadline,
    std::string& body) {
  while (true) {
    const std::optional<std::string> line = ReadLine(deadline);
    const std::optional<std::uint64_t> size =
        line.has_value() ? ParseChunkSize(*line) : std::nullopt;
    if (!size.has_value()) {
      return failure_point::kMalformedRequest;
    }
    if (*size > limits_.max_body_bytes - body.size()) {
      return failure_point::kBodyTooLarge;
    }
    if (*size == 0) {
      break;
    }
    const failure chunk_failure = ReadSizedBody(*size, deadline, body);
    if (chunk_failure.has_value()) {
      return chunk_failure;
    }
    const std::optional<std::string> end = ReadLine(deadline);
    if (!end.has_value() || !end->empty()) {
      return failure_point::kMalformedRequest;
    }
  }
  return SkipTrailers(deadline) ? std::nullopt
                                : failure(failure_point::kMalformedRequest);
}

std::optional<std::string> caller_connection::ReadLine(time_point deadline) {
  std::size_t end = buffer_.find(kLineEnd);
  while (end == std::string::npos) {
    if (buffer_.size() > kMaxChunkLineBytes || !ReceiveRequestBytes(deadline)) {
      return std::nullopt;
    }
    end = buffer_.find(kLineEnd);
  }
  if (end > kMaxChunkLineBytes) {
    return std::nullopt;
  }
  const std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + kLineEnd.size());
  if (line.find_first_of("\r\n") != std::string::npos) {
    return std::nullopt;
  }
  return line;
}

bool caller_connection::SkipTrailers(time_point deadline) {
  constexpr int kMaxTrailers = 16;
  for (int count = 0; count <= kMaxTrailers; ++count) {
    const std::optional<std::string> line = ReadLine(deadline);
    if (!line.has_value()) {
      return false;
    }
    if (line->empty()) {
      return true;
    }
  }
  return false;
}

bool caller_connection::WriteResponse(const proxy_response& response,
                                      std::string_view method,
                                      bool is_last) {
  std::string message = FormatHead(response, method, is_last);
  if (method != "HEAD" && response.status != kNoContent &&
      response.status != kNotModified) {
    message += response.body;
  }
  return Send(message, clock_.Now() + limits_.write_time);
}

void caller_connection::FinishSending() {
  constexpr std::chrono::milliseconds kDrainTime{500};
  constexpr std::size_t kMaxDrainBytes = std::size_t{4} * 1024 * 1024;
  (void)shutdown(socket_, SHUT_WR);
  const time_point deadline = clock_.Now() + kDrainTime;
  std::size_t drained = 0;
  buffer_.clear();
  while (drained < kMaxDrainBytes && Receive(deadline)) {
    drained += buffer_.size();
    buffer_.clear();
  }
}

bool caller_connection::ReceiveRequestBytes(time_point deadline) {
  while (true) {
    if (MustGiveWay()) {
      has_given_way_ = true;
      return false;
    }
    const time_point now = clock_.Now();
    const time_point next_check = now + limits_.contention_check_interval;
    if (Receive(std::min(deadline, next_check))) {
      return true;
    }
    if (clock_.Now() >= deadline || clock_.Now() < next_check) {
      return false;
    }
  }
}

bool caller_connection::MustGiveWay() const {
  return clock_.Now() - reading_since_ >= limits_.contended_read_time &&
         contention_.HasWaitingConnections();
}

bool caller_connection::Receive(time_point deadline, int wake_socket) {
  while (true) {
    if (WaitForSocket(socket_, POLLIN, wake_socket, clock_, deadline) !=
        stream_end::kNone) {
      return false;
    }
    const std::size_t old_size = buffer_.size();
    buffer_.resize(old_size + kReceiveBytes);
    const ssize_t received =
        recv(socket_, buffer_.data() + old_size, kReceiveBytes, MSG_DONTWAIT);
    const int failure_number = errno;
    buffer_.resize(old_size +
                   (received > 0 ? static_cast<std::size_t>(received) : 0));
    if (received > 0) {
      return true;
    }
    if (received == 0 ||
        (failure_number != EAGAIN && failure_number != EINTR)) {
      return false;
    }
  }
}

bool caller_connection::Send(std::string_view data, time_point deadline) {
  while (!data.empty()) {
    const ssize_t sent =
        send(socket_, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      data.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    if (WaitForSocket(socket_, POLLOUT, kNoSocket, clock_, deadline) !=
        stream_end::kNone) {
      return false;
    }
  }
  return true;
}

}  // namespace bulrushshore

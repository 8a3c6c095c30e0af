#include "review/stand_ins_2/http_text.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>

namespace review {
namespace {

sockaddr_in SocketAddress(const address& at) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(at.port);
  inet_pton(AF_INET, at.ip.c_str(), &result.sin_addr);
  return result;
}

void SetNoDelay(int socket) {
  const int yes = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

int MillisecondsUntil(steady::time_point until) {
  const std::int64_t left =
      std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 600'000));
}

// Splits the text before a body into `message`. Returns false if it is none.
bool ParseHead(const std::string& head, http_text& message) {
  message = {};
  std::size_t start = 0;
  while (start < head.size()) {
    std::size_t end = head.find("\r\n", start);
    end = end == std::string::npos ? head.size() : end;
    const std::string line = head.substr(start, end - start);
    start = end + 2;
    if (message.first.empty()) {
      const std::size_t space = line.find(' ');
      if (space == std::string::npos) {
        return false;
      }
      message.first = line.substr(0, space);
      message.second =
          line.substr(space + 1, line.find(' ', space + 1) - space - 1);
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
  }
  return !message.first.empty();
}

}  // namespace

std::string http_text::Header(std::string_view name) const {
  for (const std::pair<std::string, std::string>& field : headers) {
    if (field.first.size() == name.size() &&
        strncasecmp(field.first.data(), name.data(), name.size()) == 0) {
      return field.second;
    }
  }
  return {};
}

int http_text::Status() const {
  return std::atoi(second.c_str());
}

bool stream::Connect(const address& peer, milliseconds limit) {
  Close();
  is_ended_ = false;
  buffer_.clear();
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in at = SocketAddress(peer);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) !=
      0) {
    pollfd wait{socket_, POLLOUT, 0};
    int failure = errno == EINPROGRESS ? 0 : errno;
    if (failure == 0) {
      socklen_t size = sizeof(failure);
      if (poll(&wait, 1, static_cast<int>(limit.count())) != 1 ||
          getsockopt(socket_, SOL_SOCKET, SO_ERROR, &failure, &size) != 0) {
        failure = ETIMEDOUT;
      }
    }
    if (failure != 0) {
      Close();
      return false;
    }
  }
  SetNoDelay(socket_);
  return true;
}

bool stream::Write(std::string_view bytes) const {
  if (is_silent_) {
    return true;
  }
  while (!bytes.empty()) {
    const ssize_t sent =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    pollfd wait{socket_, POLLOUT, 0};
    constexpr int kWriteLimitMs = 10'000;
    if ((errno != EAGAIN && errno != EINTR) ||
        poll(&wait, 1, kWriteLimitMs) != 1) {
      return false;
    }
  }
  return true;
}

bool stream::Fill(steady::time_point until) {
  pollfd wait{socket_, POLLIN, 0};
  if (socket_ < 0 || poll(&wait, 1, MillisecondsUntil(until)) != 1) {
    return false;
  }
  std::array<char, 65536> bytes;
  const ssize_t size = recv(socket_, bytes.data(), bytes.size(), 0);
  if (size > 0) {
    buffer_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }
  is_ended_ = size == 0 || (errno != EAGAIN && errno != EINTR);
  return !is_ended_;
}

read_result stream::Read(http_text& message, steady::time_point until) {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  while (true) {
    const std::size_t head_size = buffer_.find(kHeadEnd);
    if (head_size != std::string::npos) {
      if (!ParseHead(buffer_.substr(0, head_size), message)) {
        return read_result::kClosed;
      }
      const std::size_t body_start = head_size + kHeadEnd.size();
      const std::size_t length =
          std::strtoull(message.Header("Content-Length").c_str(), nullptr, 10);
      if (buffer_.size() >= body_start + length) {
        message.body = buffer_.substr(body_start, length);
        buffer_.erase(0, body_start + length);
        return read_result::kMessage;
      }
    }
    if (!Fill(until)) {
      return is_ended_ || socket_ < 0 ? read_result::kClosed
                                      : read_result::kTimeout;
    }
  }
}

void stream::Shutdown() const {
  if (socket_ >= 0) {
    shutdown(socket_, SHUT_RDWR);
  }
}

void stream::Close() {
  if (socket_ >= 0) {
    close(socket_);
    socket_ = -1;
  }
}

int ListenOn(address& at) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in local = SocketAddress(at);
  socklen_t size = sizeof(local);
  constexpr int kBacklog = 256;
  if (bind(listener, reinterpret_cast<sockaddr*>(&local), size) != 0 ||
      listen(listener, kBacklog) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&local), &size) != 0) {
    close(listener);
    return -1;
  }
  at.port = ntohs(local.sin_port);
  return listener;
}

int AcceptFrom(int listener) {
  constexpr int kWaitMs = 50;
  pollfd wait{listener, POLLIN, 0};
  if (poll(&wait, 1, kWaitMs) != 1) {
    return -1;
  }
  const int accepted =
      accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (accepted >= 0) {
    SetNoDelay(accepted);
  }
  return accepted;
}

}  // namespace review

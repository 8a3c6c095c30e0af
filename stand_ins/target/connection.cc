#include "stand_ins/target/connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace bulrushshore {
namespace {

constexpr int kIoTimeoutMs = 5000;

thread_local connection* current_connection = nullptr;

bool Poll(socket_t socket, short events, int timeout_ms) {
  pollfd entry{socket, events, 0};
  return ::poll(&entry, 1, timeout_ms) > 0;
}

}  // namespace

connection::connection(socket_t socket, std::uint64_t epoch)
    : socket_(socket), epoch_(epoch) {
  current_connection = this;
}

connection::~connection() {
  current_connection = nullptr;
  ::shutdown(socket_, SHUT_RDWR);
  ::close(socket_);
}

connection* connection::Current() {
  return current_connection;
}

bool connection::WaitClosedByPeer(std::chrono::microseconds timeout) const {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  constexpr std::int64_t kNanosecondsPerMicrosecond = 1'000;
  const std::int64_t count = std::max<std::int64_t>(timeout.count(), 0);
  // ppoll() takes nanoseconds; poll() would round short work to milliseconds.
  const timespec limit{
      count / kMicrosecondsPerSecond,
      count % kMicrosecondsPerSecond * kNanosecondsPerMicrosecond};
  pollfd entry{socket_, POLLRDHUP, 0};
  return ::ppoll(&entry, 1, &limit, nullptr) > 0;
}

bool connection::WaitReadable(int timeout_ms) const {
  return buffer_begin_ < buffer_end_ || Poll(socket_, POLLIN, timeout_ms);
}

void connection::CutAfter(std::size_t bytes) {
  bytes_before_cut_ = bytes;
}

bool connection::is_readable() const {
  return WaitReadable(kIoTimeoutMs);
}

bool connection::is_writable() const {
  return Poll(socket_, POLLOUT, kIoTimeoutMs);
}

ssize_t connection::read(char* data, std::size_t size) {
  if (buffer_begin_ == buffer_end_) {
    if (!is_readable()) {
      return -1;
    }
    const ssize_t received =
        ::recv(socket_, buffer_.data(), buffer_.size(), MSG_NOSIGNAL);
    if (received <= 0) {
      return received;
    }
    buffer_begin_ = 0;
    buffer_end_ = static_cast<std::size_t>(received);
  }
  const std::size_t count = std::min(size, buffer_end_ - buffer_begin_);
  std::copy_n(buffer_.data() + buffer_begin_, count, data);
  buffer_begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t connection::write(const char* data, std::size_t size) {
  if (!is_writable()) {
    return -1;
  }
  if (!bytes_before_cut_) {
    return ::send(socket_, data, size, MSG_NOSIGNAL);
  }
  const std::size_t count = std::min(size, *bytes_before_cut_);
  *bytes_before_cut_ -= count;
  if (count == 0) {
    ::shutdown(socket_, SHUT_RDWR);
    return -1;
  }
  return ::send(socket_, data, count, MSG_NOSIGNAL);
}

void connection::get_remote_ip_and_port(std::string& ip, int& port) const {
  // The stand-in has no use for addresses.
  ip.clear();
  port = 0;
}

void connection::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

}  // namespace bulrushshore

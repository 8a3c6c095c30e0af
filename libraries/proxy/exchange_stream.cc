#include "libraries/proxy/exchange_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>

namespace bulrushshore {
namespace {

constexpr std::size_t kBufferBytes = std::size_t{16} * 1024;
constexpr std::chrono::milliseconds kLongestPoll{60'000};

int PollTimeout(const clock& source, time_point deadline) {
  const std::chrono::milliseconds remaining =
      std::chrono::ceil<std::chrono::milliseconds>(deadline - source.Now());
  return static_cast<int>(
      std::clamp(remaining, std::chrono::milliseconds(0), kLongestPoll)
          .count());
}

}  // namespace

stream_end WaitForSocket(int socket,
                         short events,
                         int cancel_socket,
                         const clock& source,
                         time_point deadline) {
  while (true) {
    // poll(2) ignores entries with a negative descriptor.
    std::array<pollfd, 2> entries = {
        {{socket, events, 0}, {cancel_socket, POLLRDHUP, 0}}};
    const int ready =
        poll(entries.data(), entries.size(), PollTimeout(source, deadline));
    if (ready < 0 && errno == EINTR) {
      continue;
    }
    if (entries[0].revents != 0) {
      return stream_end::kNone;
    }
    if (entries[1].revents != 0) {
      return stream_end::kCancelled;
    }
    if (ready < 0) {
      return stream_end::kClosed;
    }
    if (source.Now() >= deadline) {
      return stream_end::kDeadline;
    }
  }
}

exchange_stream::exchange_stream(int socket,
                                 const clock& source,
                                 bounds limits,
                                 exchange_progress& progress)
    : socket_(socket), clock_(source), bounds_(limits), progress_(progress) {}

bool exchange_stream::is_readable() const {
  return true;
}

bool exchange_stream::is_writable() const {
  return true;
}

ssize_t exchange_stream::read(char* data, std::size_t size) {
  if (!HasUnreadBytes() && !Fill()) {
    return progress_.end == stream_end::kClosed ? 0 : -1;
  }
  const std::size_t count = std::min(size, buffer_.size() - buffer_position_);
  std::memcpy(data, buffer_.data() + buffer_position_, count);
  buffer_position_ += count;
  return static_cast<ssize_t>(count);
}

bool exchange_stream::Fill() {
  if (!progress_.is_head_complete &&
      progress_.bytes_received >= bounds_.max_head_bytes) {
    return Fail(stream_end::kHeadTooLarge);
  }
  while (true) {
    const stream_end end = WaitForSocket(socket_, POLLIN, bounds_.cancel_socket,
                                         clock_, bounds_.deadline);
    if (end != stream_end::kNone) {
      return Fail(end);
    }
    buffer_.resize(kBufferBytes);
    buffer_position_ = 0;
    const ssize_t received =
        recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    const int failure = errno;
    buffer_.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    if (received > 0) {
      progress_.bytes_received += buffer_.size();
      return true;
    }
    if (received == 0 || (failure != EAGAIN && failure != EINTR)) {
      return Fail(stream_end::kClosed);
    }
  }
}

ssize_t exchange_stream::write(const char* data, std::size_t size) {
  std::size_t written = 0;
  while (written < size) {
    const ssize_t sent = send(socket_, data + written, size - written,
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      written += static_cast<std::size_t>(sent);
      progress_.bytes_sent += static_cast<std::size_t>(sent);
      continue;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      Fail(stream_end::kClosed);
      return -1;
    }
    const stream_end end = WaitForSocket(
        socket_, POLLOUT, bounds_.cancel_socket, clock_, bounds_.deadline);
    if (end != stream_end::kNone) {
      Fail(end);
      return -1;
    }
  }
  return static_cast<ssize_t>(size);
}

void exchange_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

void exchange_stream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

socket_t exchange_stream::socket() const {
  return socket_;
}

bool exchange_stream::HasUnreadBytes() const {
  return buffer_position_ < buffer_.size();
}

bool exchange_stream::Fail(stream_end end) {
  if (progress_.end == stream_end::kNone) {
    progress_.end = end;
  }
  return false;
}

}  // namespace bulrushshore

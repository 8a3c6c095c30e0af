#include "libraries/http_client/exchange_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

namespace bulrushshore {
namespace {

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
    const int timeout = PollTimeout(source, deadline);
    const int ready = poll(entries.data(), entries.size(), timeout);
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
      return stream_end::kLost;
    }
    // A wait for all of the time that was left bounds the call also if the
    // clock of a test stands still.
    if (timeout < kLongestPoll.count() || source.Now() >= deadline) {
      return stream_end::kDeadline;
    }
  }
}

exchange_stream::exchange_stream(int socket,
                                 const clock& source,
                                 time_point deadline,
                                 int cancel_socket)
    : socket_(socket),
      clock_(source),
      deadline_(deadline),
      cancel_socket_(cancel_socket) {}

std::string_view exchange_stream::Read() {
  while (WaitFor(POLLIN)) {
    const ssize_t received =
        recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    if (received > 0) {
      bytes_received_ += static_cast<std::size_t>(received);
      return {buffer_.data(), static_cast<std::size_t>(received)};
    }
    if (received == 0) {
      end_ = stream_end::kClosed;
    } else if (errno != EAGAIN && errno != EINTR) {
      end_ = stream_end::kLost;
    }
  }
  return {};
}

bool exchange_stream::Write(std::string_view data) {
  while (!data.empty()) {
    const ssize_t sent =
        send(socket_, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      data.remove_prefix(static_cast<std::size_t>(sent));
      bytes_sent_ += static_cast<std::size_t>(sent);
      continue;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      end_ = stream_end::kLost;
      return false;
    }
    if (!WaitFor(POLLOUT)) {
      return false;
    }
  }
  return true;
}

bool exchange_stream::WaitFor(short events) {
  if (end_ == stream_end::kNone) {
    end_ = WaitForSocket(socket_, events, cancel_socket_, clock_, deadline_);
  }
  return end_ == stream_end::kNone;
}

}  // namespace bulrushshore

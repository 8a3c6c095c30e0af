#include "stand_ins/link/link_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <string>

namespace bulrushshore {
namespace {

constexpr int kListenBacklog = 1024;
// How soon a connection notices a new mode and the end of the relay.
constexpr int kPollMs = 20;
constexpr int kNoDescriptor = -1;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Connect(const endpoint& server) {
  sockaddr_in address = Loopback(server.port);
  if (::inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr) != 1) {
    return kNoDescriptor;
  }
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return kNoDescriptor;
  }
  return descriptor;
}

void DisableDelay(int descriptor) {
  const int enabled = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

bool SendAll(int descriptor, const char* data, std::size_t size) {
  std::size_t sent = 0;
  while (sent < size) {
    const ssize_t count =
        ::send(descriptor, data + sent, size - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

enum class pump_state { kOpen, kEnded, kFailed };

// Passes on what can be read from `source` at once, and its end.
pump_state Pump(int source, int sink) {
  std::array<char, 16'384> buffer{};
  const ssize_t count =
      ::recv(source, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count < 0) {
    return pump_state::kFailed;
  }
  if (count == 0) {
    ::shutdown(sink, SHUT_WR);
    return pump_state::kEnded;
  }
  return SendAll(sink, buffer.data(), static_cast<std::size_t>(count))
             ? pump_state::kOpen
             : pump_state::kFailed;
}

}  // namespace

std::optional<link_mode> ParseLinkMode(std::string_view name) {
  if (name == "pass") {
    return link_mode::kPass;
  }
  if (name == "cut-to-server") {
    return link_mode::kCutToServer;
  }
  if (name == "cut-to-client") {
    return link_mode::kCutToClient;
  }
  if (name == "silent") {
    return link_mode::kSilent;
  }
  return std::nullopt;
}

link_relay::link_relay(const endpoint& server) : server_(server) {}

link_relay::~link_relay() {
  Stop();
}

result<std::uint16_t> link_relay::Start(std::uint16_t port) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in address = Loopback(port);
  socklen_t length = sizeof(address);
  sockaddr* const generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(listener_, generic, length) != 0 ||
      ::listen(listener_, kListenBacklog) != 0 ||
      ::getsockname(listener_, generic, &length) != 0) {
    return error{error_code::kUnavailable,
                 "cannot listen on port " + std::to_string(port)};
  }
  accept_thread_ = std::thread([this] { Accept(); });
  return static_cast<std::uint16_t>(ntohs(address.sin_port));
}

void link_relay::SetMode(link_mode mode) {
  mode_ = mode;
  if (mode == link_mode::kSilent) {
    ++silent_epoch_;
  }
}

void link_relay::Stop() {
  is_stopping_ = true;
  if (accept_thread_.joinable()) {
    accept_thread_.join();
  }
  for (relayed_connection& connection : connections_) {
    connection.thread.join();
  }
  connections_.clear();
  if (listener_ != kNoDescriptor) {
    ::close(listener_);
    listener_ = kNoDescriptor;
  }
}

void link_relay::Accept() {
  while (!is_stopping_) {
    RemoveFinished();
    pollfd entry{listener_, POLLIN, 0};
    if (::poll(&entry, 1, kPollMs) <= 0) {
      continue;
    }
    const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client == kNoDescriptor) {
      continue;
    }
    relayed_connection& connection = connections_.emplace_back();
    connection.thread = std::thread([this, client, &connection] {
      Relay(client);
      connection.is_finished = true;
    });
  }
}

void link_relay::RemoveFinished() {
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    if (!entry->is_finished) {
      ++entry;
      continue;
    }
    entry->thread.join();
    entry = connections_.erase(entry);
  }
}

void link_relay::Relay(int client) {
  const std::uint64_t epoch = silent_epoch_;
  const int server = Connect(server_);
  DisableDelay(client);
  DisableDelay(server);
  pump_state to_server = pump_state::kOpen;
  pump_state to_client = pump_state::kOpen;
  const auto is_usable = [&] {
    return server != kNoDescriptor && to_server != pump_state::kFailed &&
           to_client != pump_state::kFailed &&
           (to_server == pump_state::kOpen || to_client == pump_state::kOpen);
  };
  const auto reads_from_client = [&] {
    return to_server == pump_state::kOpen && !IsSilent(epoch) &&
           mode_ != link_mode::kCutToServer;
  };
  const auto reads_from_server = [&] {
    return to_client == pump_state::kOpen && !IsSilent(epoch) &&
           mode_ != link_mode::kCutToClient;
  };
  while (!is_stopping_ && is_usable()) {
    // poll() ignores negative descriptors.
    std::array<pollfd, 2> entries = {
        pollfd{reads_from_client() ? client : kNoDescriptor, POLLIN, 0},
        pollfd{reads_from_server() ? server : kNoDescriptor, POLLIN, 0}};
    if (::poll(entries.data(), entries.size(), kPollMs) <= 0) {
      continue;
    }
    // The mode may have changed while poll() waited.
    if (entries[0].revents != 0 && reads_from_client()) {
      to_server = Pump(client, server);
    }
    if (entries[1].revents != 0 && reads_from_server() &&
        to_server != pump_state::kFailed) {
      to_client = Pump(server, client);
    }
  }
  ::close(client);
  ::close(server);
}

}  // namespace bulrushshore

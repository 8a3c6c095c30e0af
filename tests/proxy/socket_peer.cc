#include "tests/proxy/socket_peer.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace bulrushshore {
namespace {

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Binds a socket to a free port and returns both.
std::pair<int, std::uint16_t> BindFreePort() {
  const int bound = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  (void)bind(bound, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(bound, reinterpret_cast<sockaddr*>(&address), &size);
  return {bound, ntohs(address.sin_port)};
}

// Returns the size of the first message in `text`, or npos if it is not whole.
std::size_t MessageSize(const std::string& text) {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  constexpr std::string_view kLengthField = "Content-Length: ";
  const std::size_t head = text.find(kHeadEnd);
  if (head == std::string::npos) {
    return std::string::npos;
  }
  const std::size_t field = text.find(kLengthField);
  const std::size_t body =
      field < head ? std::stoul(text.substr(field + kLengthField.size())) : 0;
  const std::size_t size = head + kHeadEnd.size() + body;
  return text.size() >= size ? size : std::string::npos;
}

}  // namespace

raw_connection::raw_connection(raw_connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)),
      buffer_(std::move(other.buffer_)) {}

raw_connection::~raw_connection() {
  Close();
}

raw_connection raw_connection::To(std::uint16_t port) {
  const int connected = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = LoopbackAddress(port);
  (void)connect(connected, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address));
  return raw_connection(connected);
}

void raw_connection::Send(std::string_view data) {
  while (!data.empty()) {
    const ssize_t sent = send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return;
    }
    data.remove_prefix(static_cast<std::size_t>(sent));
  }
}

void raw_connection::WaitUntilDelivered() const {
  int unacknowledged_bytes = 1;
  while (unacknowledged_bytes > 0 &&
         ioctl(socket_, SIOCOUTQ, &unacknowledged_bytes) == 0) {
    std::this_thread::yield();
  }
}

std::string raw_connection::ReceiveMessage() {
  std::size_t size = MessageSize(buffer_);
  while (size == std::string::npos && ReceiveSome()) {
    size = MessageSize(buffer_);
  }
  std::string message = buffer_.substr(0, size);
  buffer_.erase(0, message.size());
  return message;
}

std::string raw_connection::ReceiveAll() {
  while (ReceiveSome()) {
  }
  return std::exchange(buffer_, {});
}

bool raw_connection::WaitForClose(std::chrono::milliseconds limit) const {
  pollfd entry = {socket_, POLLRDHUP, 0};
  return poll(&entry, 1, static_cast<int>(limit.count())) == 0;
}

void raw_connection::Reset() {
  const linger immediately = {1, 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
  Close();
}

void raw_connection::Close() {
  if (socket_ >= 0) {
    close(std::exchange(socket_, -1));
  }
}

bool raw_connection::ReceiveSome() {
  std::array<char, 4096> block{};
  const ssize_t received = recv(socket_, block.data(), block.size(), 0);
  if (received <= 0) {
    return false;
  }
  buffer_.append(block.data(), static_cast<std::size_t>(received));
  return true;
}

scripted_target::scripted_target(std::vector<script> scripts)
    : scripts_(std::move(scripts)) {
  const std::pair<int, std::uint16_t> bound = BindFreePort();
  listening_socket_ = bound.first;
  port_ = bound.second;
  listen(listening_socket_, SOMAXCONN);
  accept_thread_ = std::thread([this] { Accept(); });
}

scripted_target::~scripted_target() {
  shutdown(listening_socket_, SHUT_RDWR);
  accept_thread_.join();
  close(listening_socket_);
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void scripted_target::Accept() {
  while (true) {
    const int accepted = accept(listening_socket_, nullptr, nullptr);
    if (accepted < 0) {
      return;
    }
    const std::size_t index = static_cast<std::size_t>(connections_++);
    const script run = scripts_[std::min(index, scripts_.size() - 1)];
    threads_.emplace_back([run, accepted] {
      raw_connection connection(accepted);
      run(connection);
    });
  }
}

std::vector<std::string> scripted_target::Requests() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

std::string scripted_target::Record(raw_connection& connection) {
  std::string request = connection.ReceiveMessage();
  if (!request.empty()) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(request);
  }
  return request;
}

scripted_target::script scripted_target::Answer(std::string response) {
  return [this, response = std::move(response)](raw_connection& connection) {
    while (!Record(connection).empty()) {
      connection.Send(response);
    }
  };
}

std::string PlainResponse(int status,
                          std::string_view body,
                          std::string_view extra_headers) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" +
         std::string(extra_headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::uint16_t ClosedPort() {
  // The socket stays bound until the process ends, so that nobody else can
  // listen on the port.
  return BindFreePort().second;
}

}  // namespace bulrushshore

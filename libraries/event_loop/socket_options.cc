#include "libraries/event_loop/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string>

namespace bulrushshore {
namespace {

namespace asio = boost::asio;

// Connections that wait to be accepted; a burst of callers arrives at once
// after their hosts change.
constexpr int kListenBacklog = 1024;

status SetOption(int socket, int level, int name, int value) {
  if (setsockopt(socket, level, name, &value, sizeof(value)) == 0) {
    return OkStatus();
  }
  return error{error_code::kInternal,
               std::string("socket option: ") + std::strerror(errno)};
}

error AddressError(const endpoint& address, const socket_error& cause) {
  return {cause == asio::error::address_in_use ? error_code::kUnavailable
                                               : error_code::kInvalidArgument,
          FormatEndpoint(address) + ": " + cause.message()};
}

}  // namespace

status ApplySocketOptions(asio::ip::tcp::socket& socket,
                          const silence_limits& limits) {
  struct option {
    int level;
    int name;
    int value;
  };
  const option options[] = {
      {IPPROTO_TCP, TCP_NODELAY, 1},
      {IPPROTO_TCP, TCP_USER_TIMEOUT,
       static_cast<int>(limits.unacknowledged.count())},
      {SOL_SOCKET, SO_KEEPALIVE, 1},
      {IPPROTO_TCP, TCP_KEEPIDLE,
       static_cast<int>(limits.probe_interval.count())},
      {IPPROTO_TCP, TCP_KEEPINTVL,
       static_cast<int>(limits.probe_interval.count())},
      {IPPROTO_TCP, TCP_KEEPCNT, limits.probes},
  };
  for (const option& entry : options) {
    status applied =
        SetOption(socket.native_handle(), entry.level, entry.name, entry.value);
    if (!IsOk(applied)) {
      return applied;
    }
  }
  return OkStatus();
}

bool IsConnectionGone(asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return socket.is_open() &&
         getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                    &size) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

std::size_t UnacknowledgedBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (!socket.is_open() ||
      ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) {
    return 0;
  }
  return static_cast<std::size_t>(std::max(bytes, 0));
}

result<asio::ip::tcp::endpoint> ToTcpEndpoint(const endpoint& address) {
  socket_error failure;
  const asio::ip::address ip = asio::ip::make_address(address.ip, failure);
  if (failure) {
    return AddressError(address, failure);
  }
  return asio::ip::tcp::endpoint(ip, address.port);
}

result<asio::ip::tcp::acceptor> ListenOn(asio::io_context& loop,
                                         const endpoint& address) {
  const result<asio::ip::tcp::endpoint> local = ToTcpEndpoint(address);
  if (!IsOk(local)) {
    return ErrorOf(local);
  }
  asio::ip::tcp::acceptor acceptor(loop);
  socket_error failure;
  acceptor.open(ValueOf(local).protocol(), failure);
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(ValueOf(local), failure);
  }
  if (!failure) {
    acceptor.listen(kListenBacklog, failure);
  }
  if (failure) {
    return AddressError(address, failure);
  }
  return acceptor;
}

}  // namespace bulrushshore

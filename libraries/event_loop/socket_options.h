#ifndef LIBRARIES_EVENT_LOOP_SOCKET_OPTIONS_H_
#define LIBRARIES_EVENT_LOOP_SOCKET_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include <boost/asio/ip/tcp.hpp>

#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"

namespace bulrushshore {

// The errors of sockets and timers, apart from those of this project.
using socket_error = boost::system::error_code;

// How soon a connection whose peer no longer answers is given up.
struct silence_limits {
  // Time without acknowledgement of sent bytes.
  std::chrono::milliseconds unacknowledged{2000};
  // Idle time before the first keep-alive probe, and between probes.
  std::chrono::seconds probe_interval{1};
  int probes = 2;
};

// Sends small messages at once and detects a silent peer. A failure is
// returned; the socket works without the options. Thread safe for unshared
// sockets. Precondition: the socket is open.
status ApplySocketOptions(boost::asio::ip::tcp::socket& socket,
                          const silence_limits& limits);

// Returns the number of sent bytes that the peer has not acknowledged, or 0 if
// the socket is closed or the system doesn't tell. Thread safe for unshared
// sockets.
std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

// Returns true if the system has ended the connection in both directions, as it
// does when the peer resets it; false if it has not or doesn't tell. After an
// end of stream alone, the connection is still open for writing. Thread safe
// for unshared sockets.
bool IsConnectionGone(boost::asio::ip::tcp::socket& socket);

// Opens, binds and listens. Thread safe.
result<boost::asio::ip::tcp::acceptor> ListenOn(boost::asio::io_context& loop,
                                                const endpoint& address);

// Returns the library's form of `address`; nothing for a faulty IP number.
// Thread safe.
result<boost::asio::ip::tcp::endpoint> ToTcpEndpoint(const endpoint& address);

}  // namespace bulrushshore

#endif  // LIBRARIES_EVENT_LOOP_SOCKET_OPTIONS_H_

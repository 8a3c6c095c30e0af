#include "tests/gateway/early_target.h"

#include <array>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "libraries/event_loop/socket_options.h"

namespace bulrushshore {

namespace asio = boost::asio;
using asio::ip::tcp;

struct early_target::connection {
  explicit connection(tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()) {}

  tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, 65536> buffer{};
};

early_target::early_target(asio::io_context& loop,
                           std::string response,
                           connection_end end,
                           std::chrono::milliseconds pause)
    : response_(std::move(response)),
      end_(end),
      pause_(pause),
      acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
  Accept();
}

early_target::~early_target() {
  for (const std::shared_ptr<connection>& peer : connections_) {
    peer->timer.cancel();
    peer->socket.close();
  }
}

endpoint early_target::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void early_target::Accept() {
  acceptor_.async_accept([this](const socket_error& error, tcp::socket socket) {
    if (error) {
      return;
    }
    const std::shared_ptr<connection> peer =
        std::make_shared<connection>(std::move(socket));
    connections_.push_back(peer);
    peer->socket.async_read_some(
        asio::buffer(peer->buffer),
        [this, peer](const socket_error& failure, std::size_t) {
          if (!failure) {
            Respond(peer);
          }
        });
    Accept();
  });
}

void early_target::Respond(const std::shared_ptr<connection>& peer) {
  asio::async_write(
      peer->socket, asio::buffer(response_),
      [this, peer](const socket_error& failure, std::size_t) {
        if (failure) {
          return;
        }
        if (pause_ == std::chrono::milliseconds::zero()) {
          End(peer);
          return;
        }
        peer->timer.expires_after(pause_);
        peer->timer.async_wait([this, peer](const socket_error& cancelled) {
          if (!cancelled) {
            End(peer);
          }
        });
      });
}

void early_target::End(const std::shared_ptr<connection>& peer) const {
  socket_error ignored;  // The other side may have ended the connection.
  switch (end_) {
    case connection_end::kReset:
      peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      peer->socket.close(ignored);
      return;
    case connection_end::kHalfClose:
      peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
      Drain(peer);
      return;
    case connection_end::kClose:
      peer->socket.shutdown(tcp::socket::shutdown_send, ignored);
      peer->socket.close(ignored);
      return;
  }
}

void early_target::Drain(const std::shared_ptr<connection>& peer) {
  peer->socket.async_read_some(
      asio::buffer(peer->buffer),
      [peer](const socket_error& failure, std::size_t) {
        if (!failure) {
          Drain(peer);
        }
      });
}

}  // namespace bulrushshore

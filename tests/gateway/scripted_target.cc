#include "tests/gateway/scripted_target.h"

#include <array>
#include <utility>
#include <variant>

#include <boost/asio/write.hpp>

#include "libraries/event_loop/socket_options.h"
#include "libraries/http/message_writer.h"

namespace bulrushshore {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kPauseBetweenPieces{10};

}  // namespace

struct scripted_target::connection {
  explicit connection(asio::ip::tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()), reader({}) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  request_reader reader;
  std::string outgoing;
  std::array<char, 4096> buffer{};
  bool is_reply_pending = false;
};

scripted_target::scripted_target(asio::io_context& loop, script reply)
    : loop_(loop),
      reply_(std::move(reply)),
      acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
  Accept();
}

scripted_target::~scripted_target() {
  for (const std::shared_ptr<connection>& peer : connections_) {
    peer->timer.cancel();
    peer->socket.close();
  }
}

endpoint scripted_target::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

scripted_reply scripted_target::Success(const proxy_request& request,
                                        std::string_view body) {
  proxy_response response{200, {}, std::string(body)};
  response.headers.Add("X-Attempt",
                       request.headers.Find("X-Attempt").value_or(""));
  response.headers.Add("X-Signature", "s");
  return {.bytes = SerializeResponse(response, request.method, false)};
}

void scripted_target::Accept() {
  acceptor_.async_accept(
      [this](const socket_error& error, asio::ip::tcp::socket socket) {
        if (error) {
          return;
        }
        ++connections_accepted_;
        const std::shared_ptr<connection> peer =
            std::make_shared<connection>(std::move(socket));
        connections_.push_back(peer);
        Receive(peer);
        Accept();
      });
}

void scripted_target::Receive(const std::shared_ptr<connection>& peer) {
  peer->socket.async_read_some(
      asio::buffer(peer->buffer),
      [this, peer](const socket_error& error, std::size_t size) {
        if (error) {
          if (error != asio::error::operation_aborted &&
              peer->is_reply_pending) {
            ++connections_closed_before_reply_;
            peer->timer.cancel();
          }
          return;
        }
        peer->reader.Append({peer->buffer.data(), size});
        request_read_result next = peer->reader.Next();
        if (received_request* received = std::get_if<received_request>(&next)) {
          requests_.push_back(received->request);
          const scripted_reply reply = reply_(received->request);
          peer->is_reply_pending = true;
          peer->timer.expires_after(reply.delay);
          peer->timer.async_wait(
              [this, peer, reply](const socket_error& cancelled) {
                if (!cancelled) {
                  Reply(peer, reply);
                }
              });
        }
        Receive(peer);
      });
}

void scripted_target::Reply(const std::shared_ptr<connection>& peer,
                            const scripted_reply& reply) {
  peer->is_reply_pending = reply.bytes.empty() && !reply.closes_after;
  peer->outgoing = reply.bytes;
  asio::async_write(
      peer->socket, asio::buffer(peer->outgoing),
      [this, peer, reply](const socket_error&, std::size_t) {
        if (reply.next_bytes.empty()) {
          End(peer, reply);
          return;
        }
        peer->timer.expires_after(kPauseBetweenPieces);
        peer->timer.async_wait([this, peer, reply](const socket_error&) {
          SendNext(peer, reply);
        });
      });
}

void scripted_target::SendNext(const std::shared_ptr<connection>& peer,
                               const scripted_reply& reply) {
  peer->outgoing = reply.next_bytes;
  asio::async_write(peer->socket, asio::buffer(peer->outgoing),
                    [this, peer, reply](const socket_error&, std::size_t) {
                      End(peer, reply);
                    });
}

void scripted_target::End(const std::shared_ptr<connection>& peer,
                          const scripted_reply& reply) {
  if (!reply.endless_bytes.empty()) {
    SendEndlessly(peer, reply.endless_bytes);
  }
  if (!reply.closes_after) {
    return;
  }
  if (reply.resets) {
    peer->socket.set_option(asio::socket_base::linger(true, 0));
  }
  peer->socket.close();
}

void scripted_target::SendEndlessly(const std::shared_ptr<connection>& peer,
                                    const std::string& bytes) {
  peer->outgoing = bytes;
  asio::async_write(
      peer->socket, asio::buffer(peer->outgoing),
      [this, peer, bytes](const socket_error& error, std::size_t) {
        if (!error) {
          SendEndlessly(peer, bytes);
        }
      });
}

}  // namespace bulrushshore

#include "libraries/event_loop/http_server.h"

#include <array>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/write.hpp>

#include "libraries/base/clock.h"
#include "libraries/event_loop/message_guard.h"
#include "libraries/event_loop/socket_options.h"
#include "libraries/http/message_writer.h"
#include "libraries/http/request_reader.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;

// A connection without a request for this time is closed.
constexpr duration kIdleTime = std::chrono::seconds(30);
constexpr duration kAcceptPause = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxBodyBytes = 65'536;

}  // namespace

class http_server::session : public std::enable_shared_from_this<session> {
 public:
  session(asio::ip::tcp::socket socket, http_server& server)
      : socket_(std::move(socket)),
        timer_(server.loop_),
        server_(server),
        reader_({.max_body_bytes = kMaxBodyBytes}) {}

  void Receive() {
    timer_.expires_after(kIdleTime);
    timer_.async_wait([self = shared_from_this()](const socket_error& error) {
      if (!error) {
        self->Close();
      }
    });
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](
                                const socket_error& error, std::size_t size) {
                              if (error) {
                                self->Close();
                                return;
                              }
                              self->AnswerGuarded(size);
                            });
  }

  void Close() {
    timer_.cancel();
    socket_error ignored;  // The socket is given up whatever its state.
    socket_.close(ignored);
    server_.sessions_.erase(shared_from_this());
  }

 private:
  // Closes the connection if its request makes the handler throw.
  void AnswerGuarded(std::size_t received_bytes) {
    const bool is_handled = RunGuarded("question", [this, received_bytes] {
      reader_.Append({buffer_.data(), received_bytes});
      Answer();
    });
    if (!is_handled) {
      Close();
    }
  }

  void Answer() {
    request_read_result next = reader_.Next();
    if (std::holds_alternative<more_bytes_needed>(next)) {
      Receive();
      return;
    }
    if (const request_fault* fault = std::get_if<request_fault>(&next)) {
      Write(SerializeResponse(
                {.status = fault->status, .headers = {}, .body = {}}, "GET",
                true),
            true);
      return;
    }
    const received_request& received = std::get<received_request>(next);
    const proxy_response response = server_.handle_(received.request);
    Write(SerializeResponse(response, received.request.method,
                            !received.is_keep_alive),
          !received.is_keep_alive);
  }

  void Write(std::string bytes, bool is_last) {
    outgoing_ = std::move(bytes);
    asio::async_write(socket_, asio::buffer(outgoing_),
                      [self = shared_from_this(), is_last](
                          const socket_error& error, std::size_t) {
                        if (error || is_last) {
                          self->Close();
                          return;
                        }
                        self->AnswerGuarded(0);
                      });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  http_server& server_;
  request_reader reader_;
  std::string outgoing_;
  std::array<char, 2048> buffer_{};
};

http_server::http_server(asio::io_context& loop, handler handle)
    : loop_(loop), handle_(std::move(handle)), accept_timer_(loop) {}

http_server::~http_server() {
  const std::unordered_set<std::shared_ptr<session>> open = sessions_;
  for (const std::shared_ptr<session>& entry : open) {
    entry->Close();
  }
}

status http_server::Listen(const endpoint& address) {
  result<asio::ip::tcp::acceptor> acceptor = ListenOn(loop_, address);
  if (!IsOk(acceptor)) {
    return ErrorOf(acceptor);
  }
  acceptor_.emplace(TakeValue(std::move(acceptor)));
  Accept();
  return OkStatus();
}

std::uint16_t http_server::port() const {
  return acceptor_->local_endpoint().port();
}

void http_server::Accept() {
  acceptor_->async_accept(
      [this](const socket_error& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          accept_timer_.expires_after(kAcceptPause);
          accept_timer_.async_wait([this](const socket_error& cancelled) {
            if (!cancelled) {
              Accept();
            }
          });
          return;
        }
        // A connection that can't be served is closed with its socket.
        (void)RunGuarded("connection", [&] {
          const std::shared_ptr<session> opened =
              std::make_shared<session>(std::move(socket), *this);
          sessions_.insert(opened);
          opened->Receive();
        });
        Accept();
      });
}

}  // namespace bulrushshore

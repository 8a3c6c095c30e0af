#include "libraries/event_loop/http_connection.h"

#include <cassert>
#include <utility>

#include <boost/asio/write.hpp>

#include "libraries/event_loop/message_guard.h"
#include "libraries/http/message_writer.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;

// A peer may send one or two late answers to earlier requests. More of them are
// a peer that does not stop.
constexpr int kMaxForeignResponses = 16;

}  // namespace

std::string_view ExchangeFailureName(exchange_failure failure) {
  switch (failure) {
    case exchange_failure::kConnectFailed:
      return "connect_failed";
    case exchange_failure::kClosedBeforeResponse:
      return "closed_before_response";
    case exchange_failure::kTruncatedResponse:
      return "truncated_response";
    case exchange_failure::kMalformedResponse:
      return "malformed_response";
  }
  return "unknown";
}

http_connection::http_connection(asio::io_context& loop,
                                 const endpoint& peer,
                                 const options& settings)
    : socket_(loop),
      connect_timer_(loop),
      peer_(peer),
      options_(settings),
      reader_(settings.max_response_bytes) {}

http_connection::~http_connection() {
  ReturnBufferedBytes();
}

void http_connection::Exchange(const proxy_request& request,
                               response_filter is_expected,
                               completion done) {
  assert(!is_busy_);
  is_busy_ = true;
  is_reusable_ = false;
  idle_lost_ = nullptr;
  foreign_responses_ = 0;
  awaits_send_outcome_ = false;
  is_head_ = request.method == "HEAD";
  outgoing_ = SerializeRequest(request);
  is_expected_ = std::move(is_expected);
  done_ = std::move(done);
  if (!was_connected_) {
    Connect();
    return;
  }
  reader_.Start(is_head_);
  Send();
  Receive();
}

void http_connection::Connect() {
  const result<asio::ip::tcp::endpoint> peer = ToTcpEndpoint(peer_);
  if (!IsOk(peer)) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Fail(exchange_failure::kConnectFailed);
    });
    return;
  }
  connect_timer_.expires_after(options_.connect_timeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const socket_error& error) {
        if (!error && !self->was_connected_) {
          self->Fail(exchange_failure::kConnectFailed);
        }
      });
  socket_.async_connect(ValueOf(peer),
                        [self = shared_from_this()](const socket_error& error) {
                          self->OnConnected(error);
                        });
}

void http_connection::OnConnected(const socket_error& error) {
  if (!is_busy_ || !done_) {
    return;
  }
  connect_timer_.cancel();
  if (error) {
    Fail(exchange_failure::kConnectFailed);
    return;
  }
  was_connected_ = true;
  // The connection works without the options; a silent peer is then noticed by
  // the deadline of the request.
  (void)ApplySocketOptions(socket_, options_.silence);
  reader_.Start(is_head_);
  Send();
  Receive();
}

void http_connection::Send() {
  is_sending_ = true;
  asio::async_write(
      socket_, asio::buffer(outgoing_),
      [self = shared_from_this()](const socket_error& error, std::size_t) {
        self->is_sending_ = false;
        if (error) {
          // The peer may have answered before it stopped reading; the receiving
          // side decides how the exchange ends.
          self->send_failure_ = error;
          self->is_reusable_ = false;
        }
        if (std::exchange(self->awaits_send_outcome_, false)) {
          const bool is_handled = RunGuarded(
              "response", [&] { self->OnReadEnded(asio::error::eof); });
          if (!is_handled) {
            self->FailGuarded();
          }
        }
      });
}

void http_connection::Receive() {
  if (is_receiving_) {
    return;
  }
  is_receiving_ = true;
  socket_.async_read_some(
      asio::buffer(receive_buffer_),
      [self = shared_from_this()](const socket_error& error, std::size_t size) {
        self->is_receiving_ = false;
        const bool is_handled =
            RunGuarded("response", [&] { self->OnReceived(error, size); });
        if (!is_handled) {
          self->FailGuarded();
        }
      });
}

void http_connection::OnReceived(const socket_error& error, std::size_t size) {
  if (!is_busy_) {
    // Bytes without a request belong to no exchange, so the connection cannot
    // be used again.
    is_reusable_ = false;
    const std::function<void()> lost = std::exchange(idle_lost_, nullptr);
    if (lost) {
      lost();
    }
    return;
  }
  if (!done_) {
    return;
  }
  if (!error) {
    const std::string_view bytes(receive_buffer_.data(), size);
    if (TakeExpectedResponse(reader_.Feed(bytes))) {
      return;
    }
    if (!AccountForBufferedBytes()) {
      Fail(exchange_failure::kMalformedResponse);
      return;
    }
    Receive();
    return;
  }
  if (error == asio::error::eof && is_sending_ && IsConnectionGone(socket_)) {
    // The write has met the loss of the connection as well, but its completion
    // may be queued behind this one.
    awaits_send_outcome_ = true;
    return;
  }
  OnReadEnded(error);
}

void http_connection::OnReadEnded(const socket_error& error) {
  if (!done_) {
    return;
  }
  if (IsEndOfPeer(error) && reader_.HasStarted() &&
      reader_.FinishAtEnd() == response_read_state::kComplete) {
    received_response received = reader_.TakeResponse();
    received.is_keep_alive = false;
    if (is_expected_(received.response)) {
      Deliver(std::move(received));
      return;
    }
  }
  Fail(reader_.HasStarted() ? exchange_failure::kTruncatedResponse
                            : exchange_failure::kClosedBeforeResponse);
}

bool http_connection::IsEndOfPeer(const socket_error& read_error) const {
  // The system reports the loss of a connection once. If the write meets it,
  // the next read returns an end of stream that the peer did not send. A write
  // behind an end that the peer did send fails with broken_pipe. A connection
  // that is still open while the write goes on was not reset, so the end is the
  // peer's.
  return read_error == asio::error::eof &&
         (!send_failure_ || send_failure_ == asio::error::broken_pipe);
}

bool http_connection::TakeExpectedResponse(response_read_state state) {
  while (state == response_read_state::kComplete) {
    received_response received = reader_.TakeResponse();
    if (is_expected_(received.response)) {
      Deliver(std::move(received));
      return true;
    }
    if (++foreign_responses_ > kMaxForeignResponses) {
      state = response_read_state::kMalformed;
      break;
    }
    reader_.Start(is_head_);
    state = reader_.FeedBuffered();
  }
  if (state == response_read_state::kMalformed) {
    Fail(exchange_failure::kMalformedResponse);
    return true;
  }
  return false;
}

bool http_connection::AccountForBufferedBytes() {
  if (!options_.buffered_bytes) {
    return true;
  }
  const std::size_t held = reader_.BufferedBytes();
  if (held <= buffered_bytes_) {
    options_.buffered_bytes->Return(buffered_bytes_ - held);
  } else if (!options_.buffered_bytes->TryTake(held - buffered_bytes_)) {
    return false;
  }
  buffered_bytes_ = held;
  return true;
}

void http_connection::ReturnBufferedBytes() {
  if (options_.buffered_bytes) {
    options_.buffered_bytes->Return(std::exchange(buffered_bytes_, 0));
  }
}

void http_connection::Deliver(received_response response) {
  is_reusable_ = response.is_keep_alive && !reader_.HasExtraBytes() &&
                 !is_sending_ && !send_failure_;
  Finish(std::move(response));
}

void http_connection::Fail(exchange_failure failure) {
  if (!done_) {
    return;
  }
  is_reusable_ = false;
  Finish(failure);
}

void http_connection::FailGuarded() {
  const bool is_reported = RunGuarded("failed response", [this] {
    Fail(exchange_failure::kMalformedResponse);
  });
  if (!is_reported) {
    Close();
  }
}

void http_connection::Finish(exchange_outcome outcome) {
  is_busy_ = false;
  ReturnBufferedBytes();
  const completion done = std::exchange(done_, nullptr);
  is_expected_ = nullptr;
  if (!is_reusable_) {
    Close();
  }
  done(std::move(outcome));
}

void http_connection::Close() {
  done_ = nullptr;
  is_expected_ = nullptr;
  idle_lost_ = nullptr;
  is_reusable_ = false;
  is_busy_ = false;
  awaits_send_outcome_ = false;
  ReturnBufferedBytes();
  connect_timer_.cancel();
  socket_error ignored;  // The socket is given up whatever its state.
  socket_.close(ignored);
}

void http_connection::WatchIdle(std::function<void()> lost) {
  assert(IsReusable());
  idle_lost_ = std::move(lost);
  Receive();
}

}  // namespace bulrushshore

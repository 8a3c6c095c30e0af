#include "libraries/gateway/caller_session.h"

#include <algorithm>
#include <limits>
#include <span>
#include <string_view>
#include <utility>
#include <variant>

#include <boost/asio/buffer.hpp>

#include "libraries/event_loop/message_guard.h"
#include "libraries/gateway/failure_response.h"
#include "libraries/http/message_writer.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;

constexpr int kRequestTimeoutStatus = 408;

// Requests of one connection that are in flight or whose response waits to be
// sent in order.
constexpr std::size_t kMaxPendingRequests = 32;

// Connections stay open this much longer than the idle timeout, because callers
// may reuse a connection until shortly before the timeout.
constexpr duration kIdleMargin = std::chrono::milliseconds(500);

// Time for which a connection is still read after its last response. Closing a
// socket with unread bytes resets the connection, and the caller could lose the
// response.
constexpr duration kLingerTime = std::chrono::milliseconds(1000);

// Sent with refusals shortly before the process exits.
constexpr std::chrono::milliseconds kLeavingRetryAfter{20};

// Makes the first check of HasSendProgress() for a write count as progress.
constexpr std::size_t kNotChecked = std::numeric_limits<std::size_t>::max();

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

request_size_limits SizeLimits(const caller_limits& limits) {
  return {limits.max_header_bytes, limits.max_body_bytes};
}

}  // namespace

caller_session::caller_session(asio::ip::tcp::socket socket,
                               gateway_state& state,
                               session_owner& owner)
    : socket_(std::move(socket)),
      state_(state),
      owner_(owner),
      timer_(state.loop()),
      reader_(SizeLimits(Limits())),
      last_activity_(state.time().Now()),
      request_began_(last_activity_) {}

caller_limits caller_session::Limits() const {
  return state_.rules() ? state_.rules()->rules().limits : caller_limits{};
}

void caller_session::Start() {
  socket_error failure;
  socket_.non_blocking(true, failure);
  if (failure || !IsOk(ApplySocketOptions(
                     socket_, {.unacknowledged = std::chrono::seconds(10),
                               .probe_interval = std::chrono::seconds(5),
                               .probes = 2}))) {
    Close();
    return;
  }
  ArmTimer();
  WaitForBytes();
}

void caller_session::WaitForBytes() {
  if (is_waiting_for_bytes_ || is_closed_) {
    return;
  }
  is_waiting_for_bytes_ = true;
  // Waits without a receive buffer so that idle connections use little memory.
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const socket_error& error) {
                       self->is_waiting_for_bytes_ = false;
                       if (error || self->is_closed_) {
                         return;
                       }
                       self->HandleGuarded([&self] { self->OnReadable(); });
                     });
}

template <typename Handle>
void caller_session::HandleGuarded(const Handle& handle) {
  if (RunGuarded("connection of a caller", handle)) {
    return;
  }
  if (!RunGuarded("failed connection", [this] { CloseAndAbandonRequests(); })) {
    Close();
  }
}

void caller_session::OnReadable() {
  const std::span<char> buffer = owner_.ReceiveBuffer();
  socket_error error;
  const std::size_t size =
      socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
  if (error == asio::error::would_block) {
    WaitForBytes();
    return;
  }
  if (error) {
    CloseAndAbandonRequests();
    return;
  }
  last_activity_ = state_.time().Now();
  if (!is_last_request_read_) {
    if (!reader_.IsMidRequest()) {
      request_began_ = last_activity_;
    }
    reader_.Append({buffer.data(), size});
    ReadRequests();
  }
  const bool is_full =
      pending_.size() >= kMaxPendingRequests || deferred_request_;
  if (!is_full) {
    WaitForBytes();
  }
}

void caller_session::ReadRequests() {
  // A response that is available immediately re-enters this function through
  // OnResponseReady(); the outer call continues the loop.
  if (is_reading_requests_) {
    return;
  }
  is_reading_requests_ = true;
  ParseAndStartRequests();
  is_reading_requests_ = false;
}

void caller_session::ParseAndStartRequests() {
  while (!is_closed_ && !is_last_request_read_ && !deferred_request_ &&
         pending_.size() < kMaxPendingRequests) {
    request_read_result next = reader_.Next();
    if (const request_fault* fault = std::get_if<request_fault>(&next)) {
      RejectRequest(*fault);
      return;
    }
    received_request* received = std::get_if<received_request>(&next);
    if (!received) {
      if (reader_.TakeContinueRequest() && pending_.empty()) {
        outgoing_ += kContinueResponse;
        Write();
      }
      return;
    }
    if (MayStart(*received)) {
      StartRequest(std::move(*received));
    } else {
      deferred_request_ = std::move(*received);
    }
  }
}

bool caller_session::MayStart(const received_request& next) const {
  return pending_.empty() ||
         (IsSafeMethod(next.request.method) &&
          std::all_of(pending_.begin(), pending_.end(),
                      [](const std::shared_ptr<pending_request>& entry) {
                        return IsSafeMethod(entry->method);
                      }));
}

void caller_session::StartRequest(received_request received) {
  const std::shared_ptr<pending_request> entry =
      std::make_shared<pending_request>();
  entry->method = received.request.method;
  entry->closes_connection = !received.is_keep_alive || owner_.IsLeaving();
  is_last_request_read_ = entry->closes_connection;
  pending_.push_back(entry);
  if (owner_.IsRefusing()) {
    OnResponseReady(entry, MakeRefusalResponse("leaving", kLeavingRetryAfter));
    return;
  }
  entry->running_exchange = std::make_shared<exchange>(
      state_, std::move(received.request), request_began_,
      [self = shared_from_this(), entry](proxy_response response) {
        self->OnResponseReady(entry, std::move(response));
      });
  entry->running_exchange->Start();
}

void caller_session::RejectRequest(const request_fault& fault) {
  is_last_request_read_ = true;
  state_.telemetry().log().Write(
      log_level::kWarning, "request_rejected",
      {{"status", fault.status}, {"reason", fault.reason}});
  const std::shared_ptr<pending_request> entry =
      std::make_shared<pending_request>();
  entry->closes_connection = true;
  pending_.push_back(entry);
  OnResponseReady(
      entry, MakeInvalidRequestResponse(fault.status, "malformed_request"));
}

void caller_session::OnResponseReady(
    const std::shared_ptr<pending_request>& request,
    proxy_response response) {
  if (is_closed_) {
    return;
  }
  request->response = std::move(response);
  QueueReadyResponses();
  if (is_closed_) {
    return;
  }
  StartDeferredRequest();
  ReadRequests();
  WaitForBytes();
}

void caller_session::StartDeferredRequest() {
  if (!deferred_request_) {
    return;
  }
  if (is_last_response_queued_) {
    // The caller sends it again: what follows the response that closes the
    // connection counts as not read.
    deferred_request_.reset();
    return;
  }
  if (MayStart(*deferred_request_)) {
    received_request next = std::move(*deferred_request_);
    deferred_request_.reset();
    StartRequest(std::move(next));
  }
}

void caller_session::QueueReadyResponses() {
  while (!pending_.empty() && pending_.front()->response) {
    const std::shared_ptr<pending_request> entry = pending_.front();
    pending_.pop_front();
    if (is_last_response_queued_) {
      continue;
    }
    // A leaving host closes the connection behind the last request that it has
    // read, which may be the deferred one.
    const bool is_last = pending_.empty() && !deferred_request_;
    entry->closes_connection =
        entry->closes_connection || (owner_.IsLeaving() && is_last);
    outgoing_ += SerializeResponse(*entry->response, entry->method,
                                   entry->closes_connection);
    if (entry->closes_connection) {
      is_last_request_read_ = true;
      is_last_response_queued_ = true;
    }
  }
  Write();
}

void caller_session::Write() {
  if (!writing_.empty() || outgoing_.empty()) {
    return;
  }
  writing_ = std::exchange(outgoing_, {});
  written_bytes_ = 0;
  unacknowledged_bytes_ = kNotChecked;
  WriteRest();
}

void caller_session::WriteRest() {
  socket_.async_write_some(
      asio::buffer(writing_) + written_bytes_,
      [self = shared_from_this()](const socket_error& error, std::size_t size) {
        self->HandleGuarded([&] { self->OnWritten(error, size); });
      });
}

void caller_session::OnWritten(const socket_error& error, std::size_t size) {
  if (is_closed_) {
    writing_.clear();
    return;
  }
  if (error) {
    writing_.clear();
    CloseAndAbandonRequests();
    return;
  }
  last_activity_ = state_.time().Now();
  written_bytes_ += size;
  if (written_bytes_ < writing_.size()) {
    WriteRest();
    return;
  }
  writing_.clear();
  if (!outgoing_.empty()) {
    Write();
    return;
  }
  if (is_last_response_queued_) {
    FinishSending();
  }
}

void caller_session::FinishSending() {
  socket_error ignored;  // The caller may have closed the connection already.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Linger();
  WaitForBytes();
}

void caller_session::Linger() {
  timer_.expires_after(kLingerTime);
  timer_.async_wait([self = shared_from_this()](const socket_error& error) {
    if (error || self->is_closed_) {
      return;
    }
    const time_point now = self->state_.time().Now();
    if (self->HasSendProgress()) {
      self->last_activity_ = now;
    }
    const bool is_sending =
        self->HasUnacknowledgedBytes() &&
        now - self->last_activity_ < self->Limits().idle_timeout;
    if (is_sending) {
      self->Linger();
    } else {
      self->Close();
    }
  });
}

bool caller_session::HasSendProgress() {
  const std::size_t before =
      std::exchange(unacknowledged_bytes_, UnacknowledgedBytes(socket_));
  return unacknowledged_bytes_ < before;
}

void caller_session::CloseAndAbandonRequests() {
  const std::deque<std::shared_ptr<pending_request>> abandoned =
      std::exchange(pending_, {});
  Close();
  for (const std::shared_ptr<pending_request>& entry : abandoned) {
    if (entry->running_exchange) {
      entry->running_exchange->OnCallerDisconnected();
    }
  }
}

void caller_session::CloseIfIdle() {
  if (IsIdle()) {
    Close();
  }
}

void caller_session::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  timer_.cancel();
  socket_error ignored;  // The socket is discarded even if closing fails.
  socket_.close(ignored);
  owner_.OnSessionClosed(this);
}

bool caller_session::IsIdle() const {
  return pending_.empty() && writing_.empty() && !reader_.IsMidRequest() &&
         !deferred_request_;
}

void caller_session::ArmTimer() {
  const caller_limits limits = Limits();
  const bool is_receiving = reader_.IsMidRequest() && pending_.empty();
  const time_point next =
      is_receiving ? request_began_ + limits.header_timeout
                   : last_activity_ + limits.idle_timeout + kIdleMargin;
  timer_.expires_at(
      std::max(next, state_.time().Now() + std::chrono::milliseconds(100)));
  timer_.async_wait([self = shared_from_this()](const socket_error& error) {
    if (!error && !self->is_closed_) {
      self->HandleGuarded([&self] { self->OnTimer(); });
    }
  });
}

void caller_session::OnTimer() {
  if (is_last_response_queued_) {
    return;
  }
  const time_point now = state_.time().Now();
  if (!writing_.empty() && HasSendProgress()) {
    last_activity_ = now;
  }
  const caller_limits limits = Limits();
  const bool is_idle_too_long =
      now - last_activity_ >= limits.idle_timeout + kIdleMargin;
  if (is_idle_too_long && (IsIdle() || !writing_.empty())) {
    CloseAndAbandonRequests();
    return;
  }
  if (reader_.IsMidRequest() && pending_.empty() &&
      now - last_activity_ >= limits.header_timeout) {
    RejectRequest({kRequestTimeoutStatus, "request not received in time"});
    return;
  }
  ArmTimer();
}

}  // namespace bulrushshore

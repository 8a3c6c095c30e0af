#include "libraries/gateway/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/event_loop/message_guard.h"
#include "libraries/event_loop/socket_options.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;

// Delay before the next accept after a failed one, for example when the process
// has no free file descriptors.
constexpr duration kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

gateway::gateway(gateway_state& state)
    : state_(state), accept_timer_(state.loop()) {}

gateway::~gateway() {
  // Close() removes the session from `sessions_`.
  const session_map open = sessions_;
  for (const session_map::value_type& entry : open) {
    entry.second->Close();
  }
}

status gateway::Listen(const endpoint& address) {
  result<asio::ip::tcp::acceptor> acceptor = ListenOn(state_.loop(), address);
  if (!IsOk(acceptor)) {
    return ErrorOf(acceptor);
  }
  acceptor_.emplace(TakeValue(std::move(acceptor)));
  Accept();
  return OkStatus();
}

void gateway::Accept() {
  acceptor_->async_accept(
      [this](const socket_error& error, asio::ip::tcp::socket socket) {
        OnAccepted(error, std::move(socket));
      });
}

void gateway::OnAccepted(const socket_error& error,
                         asio::ip::tcp::socket socket) {
  if (error == asio::error::operation_aborted) {
    return;
  }
  if (error) {
    state_.telemetry().log().Write(log_level::kWarning, "accept_failed",
                                   {{"error", error.message()}});
    accept_timer_.expires_after(kAcceptRetryDelay);
    accept_timer_.async_wait([this](const socket_error& cancelled) {
      if (!cancelled) {
        Accept();
      }
    });
    return;
  }
  // A connection that can't be served is closed with its socket.
  std::shared_ptr<caller_session> session;
  const bool is_started = RunGuarded("connection of a caller", [&] {
    session =
        std::make_shared<caller_session>(std::move(socket), state_, *this);
    sessions_.emplace(session.get(), session);
    session->Start();
  });
  if (!is_started && session) {
    session->Close();
  }
  Accept();
}

void gateway::CloseIdleSessions() {
  // CloseIfIdle() may remove the session from `sessions_`.
  std::vector<std::shared_ptr<caller_session>> open;
  open.reserve(sessions_.size());
  for (const session_map::value_type& entry : sessions_) {
    open.push_back(entry.second);
  }
  for (const std::shared_ptr<caller_session>& session : open) {
    session->CloseIfIdle();
  }
}

std::size_t gateway::UnansweredRequests() const {
  std::size_t count = 0;
  for (const session_map::value_type& entry : sessions_) {
    count += entry.second->UnansweredRequests();
  }
  return count;
}

bool gateway::HasUnacknowledgedBytes() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const session_map::value_type& entry) {
                       return entry.second->HasUnacknowledgedBytes();
                     });
}

void gateway::OnSessionClosed(const caller_session* session) {
  sessions_.erase(session);
}

}  // namespace bulrushshore

#include "tests/platform/soak/soak_caller.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "platform/names.h"

namespace bulrushshore {
namespace {

// Pause between two requests of one caller.
constexpr std::uint64_t kPauseMs = 150;
constexpr std::chrono::milliseconds kAfterFailure{100};
constexpr std::chrono::seconds kDiscoveryTtl{2};
constexpr std::size_t kBodyBytes = 500;

http_connection::options ConnectionOptions() {
  http_connection::options options;
  options.connect_timeout = std::chrono::milliseconds(1000);
  return options;
}

bool AcceptAll(const proxy_response& /*response*/) {
  return true;
}

}  // namespace

soak_caller::soak_caller(boost::asio::io_context& loop,
                         soak_world& world,
                         soak_ledger& ledger,
                         random_source& random,
                         const clock& time)
    : loop_(loop),
      world_(world),
      ledger_(ledger),
      random_(random),
      time_(time),
      pause_(loop),
      deadline_(loop) {}

void soak_caller::Start() {
  ScheduleNext();
}

std::string soak_caller::PathOf(const soak_request& request) {
  const std::string kind = request.is_idempotent ? "read" : "pay";
  return "/" + kind + std::to_string(request.route_version) + "/" + request.id;
}

void soak_caller::ScheduleNext() {
  if (is_stopping_) {
    return;
  }
  pause_.expires_after(std::chrono::milliseconds(random_.Uniform(kPauseMs)));
  pause_.async_wait([this](const socket_error& error) {
    if (!error) {
      Continue();
    }
  });
}

void soak_caller::Continue() {
  if (usable_.empty() || time_.Now() >= resolve_at_) {
    Resolve();
  } else {
    Send();
  }
}

void soak_caller::Resolve() {
  soak_host& asked = world_.HostAt(random_.Uniform(world_.host_count()));
  discovery_ = std::make_shared<http_connection>(
      loop_, asked.discovery_address(), ConnectionOptions());
  proxy_request question{
      "GET",
      "/resolve?name=soak.example&region=r&zone=" + asked.zone(),
      {},
      ""};
  question.headers.Add("Host", "soak.example");
  deadline_.expires_after(std::chrono::seconds(1));
  deadline_.async_wait([this](const socket_error& error) {
    if (!error) {
      discovery_->Close();
      ScheduleNext();
    }
  });
  discovery_->Exchange(question, AcceptAll,
                       [this](const exchange_outcome& outcome) {
                         deadline_.cancel();
                         OnResolved(outcome);
                       });
}

void soak_caller::OnResolved(const exchange_outcome& outcome) {
  const received_response* received = std::get_if<received_response>(&outcome);
  if (received && received->response.status == 200) {
    const nlohmann::json answer =
        nlohmann::json::parse(received->response.body, nullptr, false);
    std::vector<std::size_t> named;
    for (const nlohmann::json& text :
         answer.value("addresses", nlohmann::json::array())) {
      const result<endpoint> address = ParseEndpoint(text.get<std::string>());
      if (IsOk(address)) {
        named.push_back(HostWith(ValueOf(address)));
      }
    }
    usable_ = named;
    resolve_at_ = time_.Now() + kDiscoveryTtl;
  }
  ScheduleNext();
}

std::size_t soak_caller::HostWith(const endpoint& address) const {
  for (std::size_t index = 0; index < world_.host_count(); ++index) {
    if (world_.HostAt(index).caller_address() == address) {
      return index;
    }
  }
  ledger_.Violate("discovery", "unknown address " + FormatEndpoint(address));
  return 0;
}

void soak_caller::Send() {
  const bool keeps_connection = connection_ && connection_->IsReusable() &&
                                std::find(usable_.begin(), usable_.end(),
                                          connected_host_) != usable_.end();
  if (!keeps_connection) {
    connected_host_ = usable_[random_.Uniform(usable_.size())];
    connection_ = std::make_shared<http_connection>(
        loop_, world_.HostAt(connected_host_).caller_address(),
        ConnectionOptions());
  }
  request_ = world_.MakeRequest();
  request_->host = connected_host_;
  request_->host_start = world_.HostAt(connected_host_).starts();
  proxy_request sent{
      request_->is_idempotent ? "GET" : "POST",
      PathOf(*request_),
      {},
      request_->is_idempotent ? "" : std::string(kBodyBytes, 'b')};
  sent.headers.Add("Host", "soak.example");
  sent.headers.Add(platform_names::kAttemptIdHeader, request_->id);
  sent.headers.Add(platform_names::kDeadlineHeader,
                   std::to_string(request_->deadline.count()));
  deadline_.expires_after(request_->deadline);
  deadline_.async_wait([this](const socket_error& error) {
    if (!error) {
      OnDeadline();
    }
  });
  connection_->Exchange(
      sent, AcceptAll,
      [this](const exchange_outcome& outcome) { OnEnd(outcome); });
}

void soak_caller::OnEnd(const exchange_outcome& outcome) {
  deadline_.cancel();
  ledger_.OnEnd(*request_, outcome, world_.MomentOf(*request_));
  if (!std::holds_alternative<received_response>(outcome)) {
    std::erase(usable_, connected_host_);
    pause_.expires_after(kAfterFailure);
  }
  ScheduleNext();
}

void soak_caller::OnDeadline() {
  connection_->Close();
  connection_.reset();
  ledger_.OnGivenUp(*request_);
  ScheduleNext();
}

}  // namespace bulrushshore

#include "review/stand_ins_3/client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "platform/names.h"

namespace bulrushshore::review {
namespace {

constexpr std::chrono::milliseconds kConnectTime{1000};
constexpr std::chrono::seconds kResolveTime{1};
constexpr std::chrono::seconds kTimeToLive{2};
constexpr std::uint64_t kSpreadMs = 40;
constexpr int kOk = 200;

http_connection::options ConnectionOptions() {
  http_connection::options options;
  options.connect_timeout = kConnectTime;
  return options;
}

bool AcceptAll(const proxy_response& /*response*/) {
  return true;
}

}  // namespace

client::client(const environment& around, std::string name, const plan& values)
    : around_(around),
      name_(std::move(name)),
      plan_(values),
      pause_(around.loop),
      deadline_(around.loop) {
  if (plan_.only_host) {
    usable_ = {*plan_.only_host};
  }
}

void client::Start() {
  ScheduleNext();
}

void client::ScheduleNext() {
  if (is_stopping_) {
    return;
  }
  pause_.expires_after(plan_.pause + std::chrono::milliseconds(
                                         around_.random.Uniform(kSpreadMs)));
  pause_.async_wait([this](const socket_error& error) {
    if (!error) {
      Continue();
    }
  });
}

void client::Continue() {
  if (is_stopping_) {
    return;
  }
  const bool is_answer_old = around_.time.Now() >= resolve_at_;
  if (!plan_.only_host && (usable_.empty() || is_answer_old)) {
    Resolve();
  } else if (is_held_) {
    ScheduleNext();
  } else {
    Send();
  }
}

void client::Resolve() {
  const edge_process& asked =
      *around_.hosts[around_.random.Uniform(around_.hosts.size())];
  discovery_ = std::make_shared<http_connection>(
      around_.loop, asked.discovery_address(), ConnectionOptions());
  proxy_request question{
      "GET",
      "/resolve?name=review.example&region=region-a&zone=zone-a",
      {},
      ""};
  question.headers.Add("Host", "review.example");
  deadline_.expires_after(kResolveTime);
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

void client::OnResolved(const exchange_outcome& outcome) {
  const received_response* received = std::get_if<received_response>(&outcome);
  if (received && received->response.status == kOk) {
    const nlohmann::json answer =
        nlohmann::json::parse(received->response.body, nullptr, false);
    usable_.clear();
    for (const nlohmann::json& address : answer["addresses"]) {
      for (std::size_t index = 0; index < around_.hosts.size(); ++index) {
        if (FormatEndpoint(around_.hosts[index]->caller_address()) ==
            address.get<std::string>()) {
          usable_.push_back(index);
        }
      }
    }
  }
  // Without a new answer, the client goes on to use the old one.
  resolve_at_ = around_.time.Now() + kTimeToLive;
  ScheduleNext();
}

void client::Send() {
  const bool is_kept =
      plan_.keeps_connection && connection_ && connection_->IsReusable() &&
      std::find(usable_.begin(), usable_.end(), connected_host_) !=
          usable_.end();
  if (!is_kept) {
    connected_host_ = usable_[around_.random.Uniform(usable_.size())];
    connection_ = std::make_shared<http_connection>(
        around_.loop, around_.hosts[connected_host_]->caller_address(),
        ConnectionOptions());
  }
  const std::string id = name_ + "-" + std::to_string(++sent_);
  proxy_request request{plan_.method,
                        plan_.path_prefix + id,
                        {},
                        std::string(plan_.body_bytes, 'b')};
  request.headers.Add("Host", "review.example");
  request.headers.Add(platform_names::kAttemptIdHeader, id);
  request.headers.Add(platform_names::kDeadlineHeader,
                      std::to_string(plan_.deadline.count()));
  around_.record.Add({.id = id,
                      .path = request.target,
                      .host = connected_host_,
                      .sent = around_.time.Now(),
                      .is_on_kept_connection = is_kept});
  deadline_.expires_after(plan_.deadline);
  deadline_.async_wait([this, id](const socket_error& error) {
    if (!error) {
      connection_->Close();
      around_.record.Note("given up " + id);
      ScheduleNext();
    }
  });
  connection_->Exchange(
      request, AcceptAll,
      [this, id](const exchange_outcome& outcome) { OnEnd(id, outcome); });
}

void client::OnEnd(const std::string& id, const exchange_outcome& outcome) {
  deadline_.cancel();
  if (const received_response* received =
          std::get_if<received_response>(&outcome)) {
    around_.record.OnAnswer(id, received->response.status);
  } else {
    const exchange_failure failure = std::get<exchange_failure>(outcome);
    around_.record.OnCut(id, std::string(ExchangeFailureName(failure)));
    if (!plan_.only_host) {
      std::erase(usable_, connected_host_);
    }
  }
  ScheduleNext();
}

}  // namespace bulrushshore::review

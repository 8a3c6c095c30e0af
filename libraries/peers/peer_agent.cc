#include "libraries/peers/peer_agent.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/event_loop/message_guard.h"
#include "libraries/event_loop/socket_options.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// Keeps hosts that start together from sending their pings at the same time.
constexpr double kStepJitter = 0.2;

result<udp::endpoint> ToUdpEndpoint(const endpoint& address) {
  socket_error failure;
  const asio::ip::address ip = asio::ip::make_address(address.ip, failure);
  if (failure) {
    return error{error_code::kInvalidArgument,
                 FormatEndpoint(address) + ": " + failure.message()};
  }
  return udp::endpoint(ip, address.port);
}

}  // namespace

peer_agent::peer_agent(asio::io_context& loop,
                       const clock& time,
                       random_source& random,
                       host_registry& hosts,
                       bounded_log& log,
                       peer_events& events,
                       const peer_agent_options& options)
    : socket_(loop),
      step_timer_(loop),
      announcement_timer_(loop),
      time_(time),
      random_(random),
      hosts_(hosts),
      log_(log),
      events_(events),
      options_(options),
      report_tokens_(options.reports_per_second),
      report_tokens_refilled_(time.Now()) {}

status peer_agent::Start() {
  const result<udp::endpoint> local = ToUdpEndpoint(hosts_.self().peer_address);
  if (!IsOk(local)) {
    return ErrorOf(local);
  }
  socket_error failure;
  socket_.open(ValueOf(local).protocol(), failure);
  if (!failure) {
    socket_.bind(ValueOf(local), failure);
  }
  if (!failure) {
    socket_.non_blocking(true, failure);
  }
  if (failure) {
    return error{
        error_code::kUnavailable,
        FormatEndpoint(hosts_.self().peer_address) + ": " + failure.message()};
  }
  Receive();
  ScheduleStep();
  return OkStatus();
}

void peer_agent::Announce() {
  announcements_left_ = options_.announcements;
  ScheduleAnnouncement();
}

void peer_agent::ScheduleAnnouncement() {
  if (announcements_left_ == 0 || is_leaving_) {
    return;
  }
  Broadcast(ReceiversOfRound(options_.announcements - announcements_left_),
            hello_body{hosts_.self()});
  --announcements_left_;
  announcement_timer_.expires_after(options_.announcement_interval);
  announcement_timer_.async_wait([this](const socket_error& error) {
    if (!error) {
      ScheduleAnnouncement();
    }
  });
}

void peer_agent::AnnounceLeaving() {
  is_leaving_ = true;
  for (int round = 0; round < options_.announcements; ++round) {
    Broadcast(ReceiversOfRound(round), leaving_body{});
  }
}

std::vector<const host_entry*> peer_agent::ReceiversOfRound(int round) const {
  if (!hosts_.ServesWhenReady()) {
    return hosts_.ZoneNeighbours();
  }
  return round == 0 ? hosts_.OtherHosts() : hosts_.AssociatedHosts();
}

void peer_agent::Report(const observation_report& report) {
  if (!TryTakeReportToken()) {
    return;
  }
  // Hosts send nearly all requests to targets of their own zone, so only the
  // hosts of that zone need to know about the load of a target.
  Broadcast(MayBeCausedByLoad(report.observation) ? hosts_.ServingHostsOfZone()
                                                  : hosts_.ServingHosts(),
            report);
}

void peer_agent::Report(const target_loss_report& report) {
  if (report.is_certain) {
    // A caller may retry a request that crashes targets at any host.
    Broadcast(hosts_.OtherHosts(), report);
  } else if (TryTakeReportToken()) {
    Broadcast(hosts_.ServingHosts(), report);
  }
}

void peer_agent::ReportTo(std::string_view host_id,
                          const target_loss_report& report) {
  const host_entry* host = hosts_.Find(host_id);
  if (host) {
    Send(host->peer_address, report);
  }
}

void peer_agent::Report(const target_leaving_report& report) {
  if (TryTakeReportToken()) {
    Broadcast(hosts_.ServingHosts(), report);
  }
}

void peer_agent::PublishView(const host_view& view) {
  Broadcast(hosts_.ZoneNeighbours(), view);
}

void peer_agent::PublishSuspicions(const suspicion_summary& summary) {
  Broadcast(hosts_.ZoneNeighbours(), summary);
}

bool peer_agent::TryTakeReportToken() {
  const time_point now = time_.Now();
  const double elapsed =
      std::chrono::duration<double>(now - report_tokens_refilled_).count();
  report_tokens_refilled_ = now;
  report_tokens_ =
      std::min(options_.reports_per_second,
               report_tokens_ + elapsed * options_.reports_per_second);
  if (report_tokens_ < 1.0) {
    return false;
  }
  report_tokens_ -= 1.0;
  return true;
}

void peer_agent::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](const socket_error& error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          // A datagram that can't be processed is dropped.
          (void)RunGuarded("datagram", [this, size] { OnReceived(size); });
        }
        Receive();
      });
}

void peer_agent::OnReceived(std::size_t size) {
  const result<peer_datagram> message =
      DecodePeerDatagram({buffer_.data(), size});
  const std::string sender = sender_.address().to_string();
  if (!IsOk(message)) {
    log_.Write(log_level::kWarning, "peer_message_refused",
               {{"sender", sender}, {"error", ErrorOf(message).message}});
    return;
  }
  if (!IsFromHost(ValueOf(message))) {
    // The ping requests an announcement of the sender. A pong gets no ping, so
    // that two unknown hosts do not ping each other endlessly.
    if (!std::holds_alternative<pong_body>(ValueOf(message).body)) {
      Send({sender, sender_.port()}, ping_body{random_.Next(), true});
    }
    return;
  }
  Handle(ValueOf(message));
}

bool peer_agent::IsFromHost(const peer_datagram& message) const {
  const std::string ip = sender_.address().to_string();
  if (const hello_body* hello = std::get_if<hello_body>(&message.body)) {
    return hello->host.peer_address.ip == ip;
  }
  const host_entry* host = hosts_.Find(message.sender_id);
  return host && host->peer_address.ip == ip;
}

// Visitor that calls the HandleBody() overload for the type of the body.
struct peer_agent::body_handler {
  peer_agent& agent;
  const std::string& sender;

  template <typename Body>
  void operator()(const Body& body) const {
    agent.HandleBody(sender, body);
  }
};

void peer_agent::Handle(const peer_datagram& message) {
  const bool was_lost = hosts_.IsLost(message.sender_id);
  hosts_.OnMessageFrom(message.sender_id, time_.Now());
  std::visit(body_handler{*this, message.sender_id}, message.body);
  const bool has_readiness_changed =
      hosts_.SetReady(message.sender_id, message.is_sender_ready);
  if (has_readiness_changed) {
    log_.Write(log_level::kInfo,
               message.is_sender_ready ? "host_ready" : "host_unready",
               {{"host", message.sender_id}});
  }
  const bool is_recovered = was_lost && !hosts_.IsLost(message.sender_id);
  if (is_recovered) {
    log_.Write(log_level::kInfo, "host_found", {{"host", message.sender_id}});
  }
  if (has_readiness_changed || is_recovered) {
    events_.OnHostsChanged();
  }
}

void peer_agent::HandleBody(const std::string&, const ping_body& body) {
  const endpoint sender{sender_.address().to_string(), sender_.port()};
  Send(sender, pong_body{body.nonce});
  if (!body.is_believed_lost) {
    return;
  }
  // The sender may be in a zone to which this host sends no announcements.
  Send(sender, hello_body{hosts_.self()});
  if (announcements_left_ == 0) {
    Announce();
  }
}

void peer_agent::HandleBody(const std::string&, const pong_body&) {}

void peer_agent::HandleBody(const std::string& sender, const hello_body& body) {
  const bool is_new = !hosts_.Find(sender);
  hosts_.Add(body.host);
  hosts_.OnMessageFrom(sender, time_.Now());
  if (is_new) {
    log_.Write(log_level::kInfo, "host_joined",
               {{"host", sender}, {"zone", body.host.zone}});
    events_.OnHostsChanged();
  }
  events_.OnHostAnnounced(sender);
}

void peer_agent::HandleBody(const std::string& sender, const leaving_body&) {
  hosts_.OnLeaving(sender);
  log_.Write(log_level::kInfo, "host_leaving", {{"host", sender}});
  events_.OnHostsChanged();
}

void peer_agent::HandleBody(const std::string& sender,
                            const host_lost_body& body) {
  const bool was_lost = hosts_.IsLost(body.host_id);
  hosts_.OnReportedLost(body.host_id, time_.Now());
  if (!was_lost && hosts_.IsLost(body.host_id)) {
    log_.Write(log_level::kInfo, "host_lost",
               {{"host", body.host_id}, {"reported_by", sender}});
    events_.OnHostsChanged();
  }
}

void peer_agent::HandleBody(const std::string&,
                            const observation_report& body) {
  events_.OnObservation(body);
}

void peer_agent::HandleBody(const std::string&,
                            const target_loss_report& body) {
  events_.OnTargetLost(body);
}

void peer_agent::HandleBody(const std::string&,
                            const target_leaving_report& body) {
  events_.OnTargetLeaving(body);
}

void peer_agent::HandleBody(const std::string& sender, const host_view& body) {
  events_.OnView(sender, body);
}

void peer_agent::HandleBody(const std::string&, const suspicion_summary& body) {
  events_.OnSuspicions(body);
}

void peer_agent::ScheduleStep() {
  const double factor = 1.0 + kStepJitter * (2.0 * random_.UniformReal() - 1.0);
  step_timer_.expires_after(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(options_.step_interval) * factor));
  step_timer_.async_wait([this](const socket_error& error) {
    if (!error) {
      (void)RunGuarded("failure detector", [this] { Step(); });
      ScheduleStep();
    }
  });
}

void peer_agent::Step() {
  if (is_leaving_) {
    return;
  }
  const std::size_t lost_before = hosts_.lost_count();
  const detector_actions actions = hosts_.Step(time_.Now());
  for (const due_ping& ping : actions.pings) {
    Send(ping.address, ping_body{ping.nonce, ping.is_believed_lost});
  }
  for (const std::string& id : actions.lost_ids) {
    log_.Write(log_level::kInfo, "host_lost",
               {{"host", id}, {"reported_by", hosts_.self().id}});
    Broadcast(hosts_.OtherHosts(), host_lost_body{id});
  }
  if (hosts_.lost_count() != lost_before) {
    events_.OnHostsChanged();
  }
}

void peer_agent::Send(const endpoint& address, const peer_body& body) {
  const result<udp::endpoint> receiver = ToUdpEndpoint(address);
  if (!IsOk(receiver)) {
    return;
  }
  const std::string bytes = EncodePeerDatagram(
      {hosts_.self().id, body, hosts_.IsReady(hosts_.self().id)});
  // Datagrams may get lost anyway; a later step sends again.
  socket_error ignored;
  socket_.send_to(asio::buffer(bytes), ValueOf(receiver), 0, ignored);
}

void peer_agent::Broadcast(std::span<const host_entry* const> hosts,
                           const peer_body& body) {
  for (const host_entry* host : hosts) {
    if (host->id != hosts_.self().id) {
      Send(host->peer_address, body);
    }
  }
}

}  // namespace bulrushshore

#ifndef LIBRARIES_PEERS_PEER_AGENT_H_
#define LIBRARIES_PEERS_PEER_AGENT_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/base/result.h"
#include "libraries/peers/host_registry.h"
#include "libraries/peers/peer_datagram.h"
#include "libraries/telemetry/bounded_log.h"

namespace bulrushshore {

// Receives what other hosts report. Called on the event loop's thread.
class peer_events {
 public:
  virtual ~peer_events() = default;

  // Another host reports what a request showed about a target.
  virtual void OnObservation(const observation_report& report) = 0;

  // Another host reports that a target was lost while it ran a request.
  virtual void OnTargetLost(const target_loss_report& report) = 0;

  // Another host reports that a target has announced that it is leaving.
  virtual void OnTargetLeaving(const target_leaving_report& report) = 0;

  // A host has announced itself; it may just have started.
  virtual void OnHostAnnounced(std::string_view host_id) = 0;

  // A host of the zone publishes which versions of the data it has.
  virtual void OnView(std::string_view host_id, const host_view& view) = 0;

  // The leader of the zone publishes which targets it suspects.
  virtual void OnSuspicions(const suspicion_summary& summary) = 0;

  // Hosts joined, became lost, responded again, changed their readiness or are
  // leaving.
  virtual void OnHostsChanged() = 0;
};

struct peer_agent_options {
  // Time between two steps of the failure detector.
  std::chrono::milliseconds step_interval{500};
  // Datagrams may get lost, so a host announces itself this number of times.
  // It notifies other zones only if it serves or will serve once it is ready.
  // Hosts of other zones that do not serve receive only the first announcement,
  // because they use no other host, and notifying all hosts of each host would
  // make the number of datagrams grow with the square of the fleet.
  int announcements = 3;
  std::chrono::milliseconds announcement_interval{200};
  // Maximum number of observation reports that a host sends per second. Further
  // ones are dropped, since they repeat the first ones of a burst.
  double reports_per_second = 20.0;
};

// Exchanges datagrams with the other hosts: which hosts are alive, and what
// requests showed about targets. Datagrams are accepted only from the addresses
// of known hosts, except announcements, which make a host known if they come
// from the IP address that they announce. An unknown sender is pinged, so that
// it announces itself. All calls must be made on the event loop's thread. Not
// thread safe.
class peer_agent {
 public:
  // Precondition: the references outlive this object.
  peer_agent(boost::asio::io_context& loop,
             const clock& time,
             random_source& random,
             host_registry& hosts,
             bounded_log& log,
             peer_events& events,
             const peer_agent_options& options = {});
  peer_agent(const peer_agent&) = delete;
  peer_agent& operator=(const peer_agent&) = delete;

  // Binds the socket of this host and starts the failure detector.
  status Start();

  // Notifies the hosts that use this host, or are used by it, that it takes
  // callers.
  void Announce();

  // Notifies the same hosts that this host takes no further callers.
  void AnnounceLeaving();

  // Sends the serving hosts what a request showed about a target; only those of
  // this zone if the load of the target may be the cause.
  void Report(const observation_report& report);

  // Notifies all other hosts that a target was lost while it ran a request.
  void Report(const target_loss_report& report);

  // Notifies one host of a lost target. Has no effect if the host is unknown.
  void ReportTo(std::string_view host_id, const target_loss_report& report);

  // Notifies the serving hosts that a target has announced that it is leaving.
  // Other hosts learn it from the target list or from the target.
  void Report(const target_leaving_report& report);

  // Sends the hosts of this zone which versions of the data this host has.
  void PublishView(const host_view& view);

  // Sends the hosts of this zone which targets this host suspects.
  void PublishSuspicions(const suspicion_summary& summary);

 private:
  struct body_handler;

  void Receive();
  void OnReceived(std::size_t size);
  void Handle(const peer_datagram& message);
  void HandleBody(const std::string& sender, const ping_body& body);
  void HandleBody(const std::string& sender, const pong_body& body);
  void HandleBody(const std::string& sender, const hello_body& body);
  void HandleBody(const std::string& sender, const leaving_body& body);
  void HandleBody(const std::string& sender, const host_lost_body& body);
  void HandleBody(const std::string& sender, const observation_report& body);
  void HandleBody(const std::string& sender, const target_loss_report& body);
  void HandleBody(const std::string& sender, const target_leaving_report& body);
  void HandleBody(const std::string& sender, const host_view& body);
  void HandleBody(const std::string& sender, const suspicion_summary& body);
  bool IsFromHost(const peer_datagram& message) const;
  void ScheduleStep();
  void Step();
  void ScheduleAnnouncement();
  std::vector<const host_entry*> ReceiversOfRound(int round) const;
  bool TryTakeReportToken();
  void Send(const endpoint& address, const peer_body& body);
  void Broadcast(std::span<const host_entry* const> hosts,
                 const peer_body& body);

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  boost::asio::steady_timer step_timer_;
  boost::asio::steady_timer announcement_timer_;
  const clock& time_;
  random_source& random_;
  host_registry& hosts_;
  bounded_log& log_;
  peer_events& events_;
  peer_agent_options options_;
  std::array<char, 2048> buffer_{};
  int announcements_left_ = 0;
  double report_tokens_;
  time_point report_tokens_refilled_;
  bool is_leaving_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEERS_PEER_AGENT_H_

#ifndef SERVICES_EDGE_DAEMON_EDGE_DAEMON_H_
#define SERVICES_EDGE_DAEMON_EDGE_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/base/random_source.h"
#include "libraries/base/result.h"
#include "libraries/event_loop/loop_clock.h"
#include "libraries/gateway/gateway.h"
#include "libraries/gateway/gateway_state.h"
#include "libraries/peers/host_registry.h"
#include "libraries/peers/peer_agent.h"
#include "libraries/telemetry/bounded_log.h"
#include "libraries/telemetry/metrics.h"
#include "services/edge_daemon/leave_schedule.h"

namespace bulrushshore {

// Settings of one host and of the components that its daemon owns.
struct edge_options {
  host_entry self;
  gateway_options gateway;
  host_registry_options hosts;
  peer_agent_options peers;
  leave_options leaving;
};

// How a host's view (its version of the rules and its list of targets) differs
// from the view of its zone's leader.
struct view_difference {
  bool is_in_rules = false;
  bool is_in_targets = false;
  // Number of consecutive checks that found a difference, this one included.
  // Restarts at 1 when the leader has another version of the rules.
  int checks = 0;
};

// Interface to the code that reads the rules and targets from the store for the
// daemon. The daemon calls it on the event loop's thread.
class view_source {
 public:
  virtual ~view_source() = default;

  // Called when this host becomes or ceases to be the leader of its zone. While
  // it leads, its view must be known to be current within a second, because the
  // other hosts of the zone compare their views with it.
  virtual void SetLeading(bool is_leading) = 0;

  // Called when a check finds that the view of this host differs from that of
  // its zone's leader.
  virtual void OnViewDiffers(const view_difference& difference) = 0;
};

// Runs a host that serves callers on one event loop. Owns the gateway, its
// state (rules, targets and evidence on failing targets) and the exchange with
// the other hosts. The owner supplies the rules, targets and hosts.
//
// The leader of a zone publishes its view and its suspicions to the other hosts
// of the zone. The suspicion of a target is a number that grows with failures
// that hosts observe at it and decreases with successes and with time. A host
// is leaving from the call of Leave() on.
//
// Not thread safe: all methods must be called on the event loop's thread.
class edge_daemon : private evidence_reporter, private peer_events {
 public:
  // Precondition: `loop` outlives this object.
  edge_daemon(boost::asio::io_context& loop, const edge_options& options);
  edge_daemon(const edge_daemon&) = delete;
  edge_daemon& operator=(const edge_daemon&) = delete;

  // Sets the code that reads the store. Precondition: called before Start();
  // `source` outlives this object.
  void SetViewSource(view_source& source) { view_source_ = &source; }

  // Binds the addresses of this host and starts to listen on them. Returns an
  // error if an address cannot be bound.
  status Start();

  // Puts `rules` in force unless the version in force is newer.
  void ApplyRules(rule_set rules);

  // Apply changes of the list of targets, or replace the whole list.
  void ApplyTarget(const target_entry& entry);
  void RemoveTarget(std::string_view id);
  void ReplaceTargets(std::span<const target_entry> entries);
  // Called when a group of changes is complete: publishes the new view.
  void OnTargetChangesComplete();
  // Called when the list of targets cannot be read, and when it can be again.
  void OnTargetListLost();
  void OnTargetListRegained();

  // Adds hosts from the list of hosts. Announces this host to them at the first
  // call and if any of them is new. This host cannot lead its zone before the
  // first call.
  void AddHosts(std::span<const host_entry> hosts);

  // Shuts the service down gracefully and calls `ended` once. Has no effect if
  // the host is leaving already.
  void Leave(std::function<void()> ended);

  // Returns true if callers may be sent to this host: it has rules and a list
  // of targets, and is not leaving.
  bool IsReady() const;

  // Returns the number of targets that may receive new requests.
  std::size_t usable_target_count() const;

  // Returns where callers of `zone` should connect; empty if no host is ready.
  std::vector<endpoint> AddressesFor(std::string_view zone) const;

  metric_registry& metrics() { return metrics_; }
  bounded_log& log() { return log_; }
  const clock& time() const { return time_; }
  random_source& random() { return random_; }
  const host_entry& self() const { return hosts_.self(); }

  // Returns all metrics as text.
  std::string RenderMetrics();

 private:
  void ReportObservation(const suspicion_tracker::target_key& target,
                         target_observation observation) override;
  void ReportLoss(std::uint64_t fingerprint,
                  std::string_view target_id,
                  loss_evidence evidence) override;
  void ReportLeaving(const suspicion_tracker::target_key& target) override;
  void OnObservation(const observation_report& report) override;
  void OnTargetLost(const target_loss_report& report) override;
  void OnHostAnnounced(std::string_view host_id) override;
  void OnTargetLeaving(const target_leaving_report& report) override;
  void OnView(const host_view& view) override;
  void OnSuspicions(const suspicion_summary& summary) override;
  void OnHostsChanged() override;

  void LogTargetChange(const target_change& change);
  host_view OwnView() const;
  void PublishView();
  void PublishSuspicions();
  void UpdateReadiness();
  void ScheduleViewCheck();
  void CheckView();
  void ScheduleMaintenance();
  void RunMaintenance();
  void ContinueLeaving();

  edge_options options_;
  loop_clock time_;
  seeded_random random_;
  bounded_log log_;
  metric_registry metrics_;
  gateway_telemetry telemetry_;
  gateway_state state_;
  gateway gateway_;
  host_registry hosts_;
  peer_agent peers_;
  boost::asio::steady_timer maintenance_timer_;
  boost::asio::steady_timer leave_timer_;
  boost::asio::steady_timer publish_timer_;
  boost::asio::steady_timer view_timer_;
  view_source* view_source_ = nullptr;
  std::optional<host_view> leader_view_;
  // Number of consecutive checks that found a difference from the leader's view
  // while the leader had the rules of `checked_version_`.
  int differing_checks_ = 0;
  std::uint64_t checked_version_ = 0;
  bool is_leading_ = false;
  bool serves_when_ready_ = false;
  bool has_target_list_ = false;
  // Without the list of hosts, each host of a starting fleet would consider
  // itself the leader of its zone.
  bool has_host_list_ = false;
  bool is_view_check_due_ = false;
  time_point leave_started_at_;
  std::function<void()> on_leave_ended_;
  bool is_leaving_ = false;
};

}  // namespace bulrushshore

#endif  // SERVICES_EDGE_DAEMON_EDGE_DAEMON_H_

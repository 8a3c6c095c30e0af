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

struct edge_options {
  host_entry self;
  gateway_options gateway;
  host_registry_options hosts;
  peer_agent_options peers;
  leave_options leaving;
};

struct view_difference {
  bool is_in_rules = false;
  bool is_in_targets = false;
  // Counts the checks since the views were last equal, from 1.
  int checks = 0;
};

// What the daemon asks of the code that reads the store for it. Called on the
// event loop's thread.
class view_source {
 public:
  virtual ~view_source() = default;

  // This host's reading must be known to be current within a second, because
  // others compare theirs with it; or need not any more.
  virtual void SetLeading(bool is_leading) = 0;

  // What this host read differs from what its zone's leader read.
  virtual void OnViewDiffers(const view_difference& difference) = 0;
};

// A host that serves callers on one event loop: the gateway, what it knows of
// targets and rules, and the exchange with the other hosts. Where rules,
// targets and hosts come from is up to its owner. All calls on the event loop's
// thread. Not thread safe.
class edge_daemon : private evidence_reporter, private peer_events {
 public:
  // Precondition: `loop` outlives this object.
  edge_daemon(boost::asio::io_context& loop, const edge_options& options);
  edge_daemon(const edge_daemon&) = delete;
  edge_daemon& operator=(const edge_daemon&) = delete;

  // Sets who reads the store. Precondition: called before Start(); `source`
  // outlives this object.
  void SetViewSource(view_source& source) { view_source_ = &source; }

  // Binds the addresses of this host.
  status Start();

  // Puts a version of the rules in force unless a newer one is.
  void ApplyRules(rule_set rules);

  // Enter what the list of targets says.
  void ApplyTarget(const target_entry& entry);
  void RemoveTarget(std::string_view id);
  void ReplaceTargets(std::span<const target_entry> entries);
  // A group of changes is complete.
  void OnTargetsRead();
  void OnTargetListLost();
  void OnTargetListRegained();

  // Adds hosts from the list of hosts and announces this one to them. The host
  // leads its zone at the earliest from then on.
  void AddHosts(std::span<const host_entry> hosts);

  // Ends the service in order and calls `ended` once.
  void Leave(std::function<void()> ended);

  // Returns true if callers may be sent to this host: it has rules and a list
  // of targets, and is not leaving.
  bool IsReady() const;

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
                  std::string_view target_id) override;
  void OnObservation(const observation_report& report) override;
  void OnTargetLost(const target_loss_report& report) override;
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
  void ScheduleUpkeep();
  void DoUpkeep();
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
  boost::asio::steady_timer upkeep_timer_;
  boost::asio::steady_timer leave_timer_;
  boost::asio::steady_timer publish_timer_;
  boost::asio::steady_timer view_timer_;
  view_source* view_source_ = nullptr;
  std::optional<host_view> leader_view_;
  // Checks in a row that found a difference from one version of the leader's
  // rules.
  int differing_checks_ = 0;
  std::uint64_t checked_version_ = 0;
  bool is_leading_ = false;
  bool serves_when_ready_ = false;
  bool has_target_list_ = false;
  // Before that each host of a fleet that starts would take itself for the
  // leader of its zone.
  bool has_host_list_ = false;
  bool is_view_check_due_ = false;
  time_point leave_began_;
  std::function<void()> on_left_;
  bool is_leaving_ = false;
};

}  // namespace bulrushshore

#endif  // SERVICES_EDGE_DAEMON_EDGE_DAEMON_H_

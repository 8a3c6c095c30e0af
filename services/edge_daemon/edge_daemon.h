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
#include "services/edge_daemon/view_part.h"

namespace bulrushshore {

// How old a host's view of the store (its version of the rules and its list of
// targets) may become before the host reads the store for itself. A change must
// be in force within 2 s of its acknowledgement: the sum of the first three
// durations leaves the rest for the read.
struct view_age_options {
  duration max_age = std::chrono::milliseconds(1200);
  // Hosts of a zone read one after the other, so that the first one's view can
  // confirm those of the others: each place in the zone waits longer by this.
  duration delay_per_place = std::chrono::milliseconds(50);
  duration max_delay = std::chrono::milliseconds(400);
  // A read that has not confirmed the view is repeated after this time.
  duration retry_interval = std::chrono::milliseconds(1000);
  // No read is due earlier after the start: targets register one after the
  // other while the whole fleet starts, and the hosts of a zone reach the same
  // view only after that.
  duration start_allowance = std::chrono::milliseconds(4500);
};

// Settings of one host and of the components that its daemon owns.
struct edge_options {
  host_entry self;
  gateway_options gateway;
  host_registry_options hosts;
  peer_agent_options peers;
  leave_options leaving;
  view_age_options view_age;
};

// The parts of a host's view.
enum class view_part_name { kRules, kTargets };

struct view_read {
  view_part_name part = view_part_name::kRules;
  // Reads all objects instead of the changes only.
  bool is_list = false;
  // No host of the zone has published a confirmed view recently, so the store
  // may be away.
  bool is_store_doubtful = false;
};

// Interface to the code that reads the rules and targets from the store for the
// daemon. The daemon calls it on the event loop's thread.
class view_source {
 public:
  virtual ~view_source() = default;

  // Called when this host becomes or ceases to be the leader of its zone. While
  // it leads, it must read the store so often that its view is confirmed within
  // each second, because the other hosts of the zone compare theirs with it.
  virtual void SetLeading(bool is_leading) = 0;

  // Called when the part may be too old, and again while it is not confirmed.
  // The source reads the store and calls edge_daemon::OnRead(). If it cannot
  // read at once, it does so only if edge_daemon::IsReadDue() later.
  virtual void ReadCurrent(const view_read& read) = 0;
};

// Runs a host that serves callers on one event loop. Owns the gateway, its
// state (rules, targets and evidence on failing targets) and the exchange with
// the other hosts. The owner supplies the rules, targets and hosts.
//
// Each part of a host's view is confirmed as of some time: by a read of the
// store, or by another host of the zone that had the same as of that time. A
// part whose confirmation becomes too old is read from the store.
//
// The leader of a zone reads the store all the time and publishes its view and
// its suspicions to the other hosts of the zone. A host that had to read for
// itself because no host has published a confirmed view leads until one with a
// lower rank does. The suspicion of a target is a number that grows with
// failures that hosts observe at it and decreases with successes and with time.
// A host is leaving from the call of Leave() on.
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
  // Called when a group of changes is complete.
  void OnTargetChangesComplete();
  // Called when a part of the view includes the store's state as of `as_of`.
  // `is_complete_list` states that all objects were read.
  void OnRead(view_part_name part, time_point as_of, bool is_complete_list);
  // Called when the list of targets cannot be read, and when it can be again.
  void OnTargetListLost();
  void OnTargetListRegained();

  // Returns true if the part may be too old.
  bool IsReadDue(view_part_name part) const;

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
  void OnView(std::string_view host_id, const host_view& view) override;
  void OnSuspicions(const suspicion_summary& summary) override;
  void OnHostsChanged() override;

  // A part of the view and what was done to confirm it.
  struct tracked_part {
    view_part_name name;
    view_part part;
    // When this host last requested a read, if it is not confirmed since.
    std::optional<time_point> requested_at;
    // Number of reads since another host last confirmed the part.
    int reads = 0;
    // The log says that the part is not confirmed.
    bool is_reported = false;
  };

  void LogTargetChange(const target_change& change);
  host_view OwnView() const;
  void UpdateLeading();
  void PublishView();
  void SchedulePublish(duration delay);
  void PublishSuspicions();
  void UpdateReadiness();
  tracked_part& PartOf(view_part_name name);
  void OnHeard(tracked_part& tracked, std::uint64_t value, duration age);
  void OnConfirmed(tracked_part& tracked);
  // Returns the time at which this host reads the part unless it is confirmed.
  time_point ReadDueAt(const tracked_part& tracked) const;
  // Returns true if no host of the zone has published a confirmed view lately.
  bool IsZoneUnconfirmed() const;
  void ScheduleReads();
  void LogOldPart(const tracked_part& tracked,
                  log_level level,
                  std::string_view event);
  void ReadOldParts();
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
  tracked_part rules_part_;
  tracked_part targets_part_;
  // The latest time as of which another host of the zone had a confirmed view.
  time_point confirmed_by_others_at_;
  // No read is due before this time.
  time_point reads_from_;
  // This host leads although it is not the zone's first one, because no other
  // host published a confirmed view.
  bool leads_in_place_ = false;
  bool is_leading_ = false;
  bool is_publish_due_soon_ = false;
  bool serves_when_ready_ = false;
  bool has_target_list_ = false;
  // Without the list of hosts, each host of a starting fleet would consider
  // itself the leader of its zone.
  bool has_host_list_ = false;
  time_point leave_started_at_;
  std::function<void()> on_leave_ended_;
  bool is_leaving_ = false;
};

}  // namespace bulrushshore

#endif  // SERVICES_EDGE_DAEMON_EDGE_DAEMON_H_

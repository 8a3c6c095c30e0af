#include "services/host_daemon/host_daemon.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/dispatch/service_dispatcher.h"
#include "libraries/fleet/fleet_agent.h"
#include "libraries/idempotency/handover.h"
#include "libraries/idempotency/key_owner.h"
#include "libraries/membership/host_assignment.h"
#include "libraries/probing/http_probe_client.h"
#include "libraries/probing/target_prober.h"
#include "libraries/proxy/key_claims.h"
#include "libraries/proxy/proxy_service.h"
#include "libraries/store/http_machine_list.h"
#include "libraries/store/http_object_store.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/log.h"
#include "libraries/telemetry/metrics.h"
#include "services/host_daemon/admin_server.h"
#include "services/host_daemon/audit_archiver.h"
#include "services/host_daemon/discovery_endpoints.h"
#include "services/host_daemon/draining_machine_poller.h"
#include "services/host_daemon/status_report.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kAuditCapacity = 1'000;
constexpr std::chrono::milliseconds kProbeTimeout(1'000);
constexpr std::size_t kProbeWorkers = 4;
// A leaving target must stop receiving new work within 3 s.
constexpr std::chrono::milliseconds kMachineListInterval(2'000);
constexpr std::chrono::seconds kHandoverLimit(5);
// A response waits at most this long until the other hosts know of the crash
// that it reports.
constexpr std::chrono::milliseconds kCrashReportLimit(500);
// At 600 hosts that all have something to report, this is 60 writes/s.
constexpr std::chrono::milliseconds kAuditInterval(10'000);

// Holds the actor system's configuration, which must be complete before the
// system is made.
class daemon_config : public caf::actor_system_config {
 public:
  daemon_config() {
    // An idle worker of the work stealing scheduler polls and may find a
    // message a millisecond late, which is most of the added latency allowed.
    set("scheduler.policy", caf::atom("sharing"));
  }
};

proxy_options MakeProxyOptions(const daemon_settings& settings) {
  proxy_options options;
  options.host_id = settings.id;
  options.server.address = settings.caller_address;
  options.server.max_threads = settings.caller_threads;
  return options;
}

// Returns the services that the discovery responses assign to this host. Only
// their targets are probed here: with 600 hosts a target would otherwise spend
// its time on probes.
std::set<std::string> AssignedServices(const catalog_snapshot& snapshot,
                                       const host_directory& directory,
                                       const assignment_rules& rules) {
  std::map<std::string, std::uint64_t> slots;
  for (const std::map<std::string, target>::value_type& entry :
       snapshot.contents.targets) {
    slots[entry.second.service] += entry.second.slots;
  }
  const std::vector<host_record> hosts = directory.Hosts();
  const std::string self_id = directory.Self().id;
  std::set<std::string> assigned;
  for (const std::map<std::string, std::uint64_t>::value_type& entry : slots) {
    const std::vector<const host_record*> members =
        AssignHosts(entry.first, entry.second, hosts, rules);
    const bool is_member = std::any_of(
        members.begin(), members.end(),
        [&self_id](const host_record* host) { return host->id == self_id; });
    if (is_member) {
      assigned.insert(entry.first);
    }
  }
  return assigned;
}

std::vector<probed_target> ListAssignedTargets(
    const catalog_snapshot& snapshot,
    const host_directory& directory) {
  const std::set<std::string> assigned =
      AssignedServices(snapshot, directory, {});
  std::vector<probed_target> targets;
  for (const std::map<std::string, target>::value_type& entry :
       snapshot.contents.targets) {
    if (assigned.contains(entry.second.service)) {
      targets.push_back(
          {entry.second.service, entry.second.name, entry.second.address});
    }
  }
  return targets;
}

}  // namespace

// The parts in the order in which they depend on each other.
class host_daemon::parts {
 public:
  explicit parts(const daemon_settings& settings)
      : system(config),
        time_source(system.clock()),
        audit(kAuditCapacity),
        store({settings.store_address, settings.store_timeout}, time_source),
        machines({settings.store_address, settings.store_timeout}, time_source),
        incarnation(FormatHex(seeded_random::FromSystemEntropy().Next())),
        targets(system, {settings.id, settings.zone, {}, {}}, audit, metrics),
        keys(system, {}, incarnation),
        fleet({system, store, metrics, audit}, MakeFleetOptions(settings)),
        claims(store, time_source, fleet.directory(), {}),
        proxy(MakeProxyOptions(settings),
              {fleet.snapshots(), targets, fleet.directory(), keys, claims,
               time_source, metrics, MakeDiscoveryHandler(fleet),
               [this](const work& lost,
                      const std::vector<std::string>& lost_targets) {
                 ReportCrash(lost, lost_targets);
               }}),
        probe_client(time_source, kProbeTimeout),
        audit_copies(audit, store, settings.id, incarnation),
        admin({[this] { return UnreadyReasons(); },
               [this] { return DescribeStatus(); },
               [this] { return fleet.snapshots().Current()->version; },
               [this](std::string_view fingerprint) {
                 return Release(fingerprint);
               }},
              metrics,
              audit) {}

  void StartPolling(std::chrono::milliseconds probe_interval) {
    archiver = std::make_unique<audit_archiver>(
        system, audit_copies, kAuditInterval,
        metrics.GetCounter("bulrush_audit_write_failures_total",
                           "Audit batches that could not be written."));
    machine_poller = std::make_unique<draining_machine_poller>(
        system, machines, kMachineListInterval,
        [this](std::set<std::string> leaving_ips) {
          const std::lock_guard<std::mutex> lock(targets_mutex);
          targets.SetDrainingMachines(std::move(leaving_ips));
          fleet.SetSelfSuspect(targets.IsSelfSuspect());
        });
    if (probe_interval <= std::chrono::milliseconds::zero()) {
      return;
    }
    prober = std::make_unique<target_prober>(
        system, probe_client, prober_options{probe_interval, kProbeWorkers},
        [this] {
          return ListAssignedTargets(*fleet.snapshots().Current(),
                                     fleet.directory());
        },
        [this](const probed_target& target, const probe_outcome& outcome) {
          targets.ReportProbe(target.service, target.name,
                              {outcome.is_healthy, outcome.is_draining});
        });
  }

  // Hands the keys of this process to one other host. Blocks until that host
  // has taken them or the hand-over has failed.
  void HandOverKeys() {
    const std::vector<std::string> encoded =
        EncodeHandover(keys.SealAndExport(), kMaxHandoverPartBytes);
    const std::shared_ptr<std::promise<status>> done =
        std::make_shared<std::promise<status>>();
    std::future<status> outcome = done->get_future();
    fleet.HandOverKeys(
        encoded, [done](const status& result) { done->set_value(result); });
    if (outcome.wait_for(kHandoverLimit) != std::future_status::ready) {
      LogEvent(log_level::kWarning, "key_handover_unanswered");
      return;
    }
    const status result = outcome.get();
    LogEvent(IsOk(result) ? log_level::kInfo : log_level::kWarning,
             "key_handover",
             {{"result", IsOk(result) ? "ok" : ErrorOf(result).message},
              {"parts", encoded.size()}});
  }

  daemon_config config;
  caf::actor_system system;
  runtime_clock time_source;
  metric_registry metrics;
  audit_log audit;
  http_object_store store;
  http_machine_list machines;
  std::string incarnation;
  // Guards the calls of service_dispatcher that must come one at a time.
  std::mutex targets_mutex;
  service_dispatcher targets;
  key_owner keys;
  fleet_agent fleet;
  object_store_key_claims claims;
  proxy_service proxy;
  http_probe_client probe_client;
  audit_copier audit_copies;
  std::unique_ptr<audit_archiver> archiver;
  std::unique_ptr<draining_machine_poller> machine_poller;
  std::unique_ptr<target_prober> prober;
  admin_server admin;
  std::atomic<bool> is_leaving = false;

 private:
  fleet_options MakeFleetOptions(const daemon_settings& settings) {
    fleet_options options;
    options.id = settings.id;
    options.zone = settings.zone;
    options.caller_address = settings.caller_address;
    options.peer_address = settings.peer_address;
    options.incarnation = incarnation;
    options.seeds = settings.seeds;
    options.keys = {settings.peer_key, settings.previous_peer_key};
    options.discovery.ttl = settings.discovery_ttl;
    options.on_snapshot =
        [this](std::shared_ptr<const catalog_snapshot> snapshot) {
          const std::lock_guard<std::mutex> lock(targets_mutex);
          targets.Apply(std::move(snapshot));
        };
    options.on_crash_report = [this](const crash_report_message& report) {
      targets.ReportLosses(report.service, report.fingerprint, report.targets);
    };
    options.import_keys = [this](const std::vector<std::string>& encoded) {
      return ImportKeys(encoded);
    };
    return options;
  }

  void ReportCrash(const work& lost,
                   const std::vector<std::string>& lost_targets) {
    const std::shared_ptr<std::promise<void>> done =
        std::make_shared<std::promise<void>>();
    const std::future<void> is_done = done->get_future();
    fleet.ReportCrash({lost.service, lost.fingerprint, lost_targets},
                      [done] { done->set_value(); });
    is_done.wait_for(std::min<duration>(kCrashReportLimit,
                                        lost.deadline - time_source.Now()));
  }

  status ImportKeys(const std::vector<std::string>& encoded) {
    result<handover> decoded = DecodeHandover(encoded);
    if (!IsOk(decoded)) {
      return ErrorOf(decoded);
    }
    return keys.Import(TakeValue(std::move(decoded)));
  }

  std::vector<std::string> UnreadyReasons() {
    std::vector<std::string> reasons;
    if (fleet.snapshots().Current()->version == 0) {
      reasons.emplace_back(
          "no configuration: neither the store nor a peer gave one");
    }
    if (is_leaving) {
      reasons.emplace_back("leaving");
    }
    if (targets.IsSelfSuspect()) {
      reasons.emplace_back("suspects itself");
    }
    if (!proxy.IsAccepting()) {
      reasons.emplace_back("accepts no callers");
    }
    return reasons;
  }

  std::string DescribeStatus() {
    return StatusReport(fleet.directory(), fleet.snapshots().Current()->version,
                        targets.Status());
  }

  bool Release(std::string_view fingerprint) {
    return targets.ReleaseFingerprint(
        std::stoull(std::string(fingerprint), nullptr, 16));
  }
};

host_daemon::host_daemon(const daemon_settings& settings)
    : settings_(settings), parts_(std::make_unique<parts>(settings)) {}

host_daemon::~host_daemon() = default;

status host_daemon::Start() {
  status admin_started = parts_->admin.Start(settings_.admin_address);
  if (!IsOk(admin_started)) {
    return admin_started;
  }
  const status fleet_started = parts_->fleet.Start();
  if (!IsOk(fleet_started)) {
    return ErrorOf(fleet_started);
  }
  parts_->StartPolling(settings_.probe_interval);
  return parts_->proxy.Start();
}

void host_daemon::BeginLeaving() {
  LogEvent(log_level::kInfo, "daemon_leaving", {{"host", settings_.id}});
  parts_->is_leaving = true;
  parts_->fleet.BeginLeaving();
  parts_->proxy.BeginShutdown();
}

shutdown_report host_daemon::FinishRequests() {
  return parts_->proxy.WaitUntilIdle(settings_.shutdown_limit);
}

void host_daemon::CutOffRequests() {
  parts_->proxy.StopWaiting();
}

void host_daemon::HandOver() {
  parts_->HandOverKeys();
  parts_->archiver.reset();
  // The memory of this process ends here, so the rest is written now.
  const status copied = parts_->audit_copies.CopyOnce();
  if (!IsOk(copied)) {
    LogEvent(log_level::kWarning, "audit_records_lost",
             {{"message", ErrorOf(copied).message}});
  }
}

void host_daemon::Stop() {
  parts_->prober.reset();
  parts_->machine_poller.reset();
  parts_->fleet.Stop();
  parts_->admin.Stop();
}

}  // namespace bulrushshore

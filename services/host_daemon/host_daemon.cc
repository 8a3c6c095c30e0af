#include "services/host_daemon/host_daemon.h"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/dispatch/service_dispatcher.h"
#include "libraries/idempotency/key_owner.h"
#include "libraries/probing/http_probe_client.h"
#include "libraries/probing/target_prober.h"
#include "libraries/proxy/key_claims.h"
#include "libraries/proxy/proxy_service.h"
#include "libraries/store/http_object_store.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/log.h"
#include "libraries/telemetry/metrics.h"
#include "services/host_daemon/admin_server.h"
#include "services/host_daemon/catalog_watcher.h"
#include "services/host_daemon/discovery_endpoints.h"
#include "services/host_daemon/single_host_directory.h"
#include "services/host_daemon/status_report.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kAuditCapacity = 1'000;
constexpr std::chrono::milliseconds kProbeTimeout(1'000);

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

host_record MakeSelfRecord(const daemon_settings& settings,
                           const std::string& incarnation) {
  host_record self;
  self.id = settings.id;
  self.zone = settings.zone;
  self.caller_address = settings.caller_address;
  self.peer_address = settings.peer_address;
  self.incarnation = incarnation;
  self.sequence = 1;
  return self;
}

proxy_options MakeProxyOptions(const daemon_settings& settings) {
  proxy_options options;
  options.host_id = settings.id;
  options.server.address = settings.caller_address;
  options.server.max_threads = settings.caller_threads;
  return options;
}

std::vector<probed_target> ListTargets(const catalog_snapshot& snapshot) {
  std::vector<probed_target> targets;
  for (const std::map<std::string, target>::value_type& entry :
       snapshot.contents.targets) {
    targets.push_back(
        {entry.second.service, entry.second.name, entry.second.address});
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
        incarnation(FormatHex(seeded_random::FromSystemEntropy().Next())),
        directory(MakeSelfRecord(settings, incarnation)),
        targets(system, {settings.id, settings.zone, {}, {}}, audit, metrics),
        configuration(store,
                      [this](std::shared_ptr<const catalog_snapshot> snapshot) {
                        OnSnapshot(std::move(snapshot));
                      }),
        keys(system, {}, incarnation),
        claims(store, time_source, {}),
        proxy(MakeProxyOptions(settings),
              {configuration, targets, directory, keys, claims, time_source,
               metrics,
               MakeDiscoveryHandler(directory,
                                    configuration,
                                    {{}, settings.discovery_ttl})}),
        probe_client(kProbeTimeout),
        admin({[this] { return UnreadyReasons(); },
               [this] { return DescribeStatus(); },
               [this](std::string_view fingerprint) {
                 return Release(fingerprint);
               }},
              metrics,
              audit) {}

  void StartProbes(std::chrono::milliseconds interval) {
    if (interval <= std::chrono::milliseconds::zero()) {
      return;
    }
    prober = std::make_unique<target_prober>(
        system, probe_client, prober_options{interval, 4},
        [this] { return ListTargets(*configuration.Current()); },
        [this](const probed_target& target, const probe_outcome& outcome) {
          targets.ReportProbe(target.service, target.name,
                              {outcome.is_healthy, outcome.is_draining});
        });
  }

  daemon_config config;
  caf::actor_system system;
  runtime_clock time_source;
  metric_registry metrics;
  audit_log audit;
  http_object_store store;
  std::string incarnation;
  single_host_directory directory;
  service_dispatcher targets;
  catalog_watcher configuration;
  key_owner keys;
  object_store_key_claims claims;
  proxy_service proxy;
  http_probe_client probe_client;
  std::unique_ptr<target_prober> prober;
  admin_server admin;
  std::atomic<bool> is_leaving = false;

 private:
  void OnSnapshot(std::shared_ptr<const catalog_snapshot> snapshot) {
    targets.Apply(snapshot);
    audit_record record;
    record.unix_time_ms = CurrentUnixTimeMs();
    record.actor = directory.Self().id;
    record.action = "note_applied";
    record.subject = snapshot->note_id;
    record.catalog_version = snapshot->version;
    audit.Append(std::move(record));
    LogEvent(log_level::kInfo, "catalog_applied",
             {{"version", snapshot->version}, {"note", snapshot->note_id}});
  }

  std::vector<std::string> UnreadyReasons() {
    std::vector<std::string> reasons;
    if (configuration.Current()->version == 0) {
      reasons.emplace_back("no configuration");
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

  nlohmann::json DescribeStatus() {
    return StatusReport(directory, configuration.Current()->version,
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
  const status admin_started = parts_->admin.Start(settings_.admin_address);
  if (!IsOk(admin_started)) {
    return admin_started;
  }
  parts_->configuration.Start();
  parts_->StartProbes(settings_.probe_interval);
  return parts_->proxy.Start();
}

void host_daemon::BeginLeaving() {
  parts_->is_leaving = true;
  parts_->directory.BeginLeaving();
  parts_->proxy.BeginShutdown();
}

shutdown_report host_daemon::Stop() {
  shutdown_report report =
      parts_->proxy.WaitUntilIdle(settings_.shutdown_limit);
  parts_->prober.reset();
  parts_->configuration.Stop();
  parts_->admin.Stop();
  return report;
}

}  // namespace bulrushshore

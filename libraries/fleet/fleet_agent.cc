#include "libraries/fleet/fleet_agent.h"

#include <mutex>
#include <optional>
#include <utility>

#include <caf/scoped_actor.hpp>

#include "libraries/base/random_source.h"
#include "libraries/fleet/crash_reports.h"
#include "libraries/fleet/host_objects.h"
#include "libraries/membership/host_assignment.h"
#include "libraries/membership/membership_agent.h"
#include "libraries/peer_protocol/peer_messenger.h"
#include "libraries/peer_protocol/websocket_peer_transport.h"

namespace bulrushshore {
namespace {

// The transport and what needs it, which the actors keep alive.
struct peer_stack {
  peer_stack(const fleet_agent::dependencies& dependencies,
             const fleet_options& options,
             std::unique_ptr<peer_transport> replacement)
      : clock(dependencies.system.clock()), transport(std::move(replacement)) {
    if (transport == nullptr) {
      websocket_transport_options transport_options;
      transport_options.self_id = options.id;
      transport_options.listen_address = options.peer_address;
      transport_options.keys = options.keys;
      transport = std::make_unique<websocket_peer_transport>(
          transport_options, clock, dependencies.metrics);
    }
    messenger.emplace(options.id, *transport, clock, dependencies.metrics);
  }

  runtime_clock clock;
  std::unique_ptr<peer_transport> transport;
  std::optional<peer_messenger> messenger;
};

host_record SelfRecord(const fleet_options& options) {
  host_record record;
  record.id = options.id;
  record.zone = options.zone;
  record.caller_address = options.caller_address;
  record.peer_address = options.peer_address;
  record.incarnation = options.incarnation;
  record.sequence = 1;
  return record;
}

std::shared_ptr<blocking_executor> ExecutorOrThread(
    std::shared_ptr<blocking_executor> replacement) {
  return replacement != nullptr ? std::move(replacement)
                                : std::make_shared<thread_executor>();
}

}  // namespace

// Callbacks hold this object weakly: they may run after the agent is gone.
struct fleet_agent::core : public std::enable_shared_from_this<core> {
  core(const dependencies& dependencies,
       fleet_options given_options,
       replacements replacements)
      : system(dependencies.system),
        options(std::move(given_options)),
        stack(std::make_shared<peer_stack>(dependencies,
                                           options,
                                           std::move(replacements.transport))),
        messenger(stack, &*stack->messenger),
        store_executor(
            ExecutorOrThread(std::move(replacements.store_executor))),
        import_executor(
            ExecutorOrThread(std::move(replacements.import_executor))),
        receiver(options.incarnation) {}

  void Connect(const dependencies& dependencies);
  void OnHandover(const peer_request& request);
  void OnCrashReport(const peer_request& request);
  void ImportTable(const peer_request& request,
                   const handover_contents& contents);

  caf::actor_system& system;
  const fleet_options options;
  const std::shared_ptr<peer_stack> stack;
  const std::shared_ptr<peer_messenger> messenger;
  const std::shared_ptr<blocking_executor> store_executor;
  const std::shared_ptr<blocking_executor> import_executor;
  handover_receiver receiver;
  std::unique_ptr<membership_agent> membership;
  std::unique_ptr<configuration_agent> configuration;
  std::shared_ptr<host_objects> objects;
  std::mutex crash_budget_mutex;
  crash_report_budget crash_budget;
};

void fleet_agent::core::Connect(const dependencies& dependencies) {
  const std::weak_ptr<core> weak = weak_from_this();
  seeded_random random = seeded_random::FromSystemEntropy();
  membership_options membership_options = options.membership;
  membership_options.seeds = options.seeds;
  objects = std::make_shared<host_objects>(dependencies.store, import_executor,
                                           SelfRecord(options));
  membership = std::make_unique<membership_agent>(
      membership_agent::dependencies{dependencies.system, messenger,
                                     dependencies.metrics, dependencies.audit},
      membership_options, SelfRecord(options), random.Next(),
      membership_agent::listeners{
          [weak](const endpoint& peer, std::uint64_t version) {
            const std::shared_ptr<core> locked = weak.lock();
            if (locked != nullptr && locked->configuration != nullptr) {
              locked->configuration->OnPeerVersion(peer, version);
            }
          },
          [objects = objects](const host_record& self) {
            objects->Write(self);
          }});
  configuration = std::make_unique<configuration_agent>(
      configuration_agent::dependencies{
          dependencies.system, messenger, membership->publisher(),
          dependencies.store, store_executor, dependencies.metrics,
          dependencies.audit},
      options.configuration, random.Next(),
      [weak, forward = options.on_snapshot](
          std::shared_ptr<const catalog_snapshot> snapshot) {
        const std::shared_ptr<core> locked = weak.lock();
        if (locked == nullptr) {
          return;
        }
        locked->membership->SetCatalogVersion(snapshot->version);
        if (forward != nullptr) {
          forward(std::move(snapshot));
        }
      });
  messenger->SetRequestHandler(
      handover_message(), [weak](const peer_request& request) {
        const std::shared_ptr<core> locked = weak.lock();
        if (locked != nullptr) {
          locked->OnHandover(request);
        }
      });
  messenger->SetRequestHandler(
      crash_report_message(), [weak](const peer_request& request) {
        const std::shared_ptr<core> locked = weak.lock();
        if (locked != nullptr) {
          locked->OnCrashReport(request);
        }
      });
}

void fleet_agent::core::OnCrashReport(const peer_request& request) {
  if (options.on_crash_report != nullptr) {
    options.on_crash_report(*std::get_if<crash_report_message>(&request.body));
  }
  messenger->Reply(request, crash_report_ack_message());
}

void fleet_agent::core::OnHandover(const peer_request& request) {
  const handover_message* message =
      std::get_if<handover_message>(&request.body);
  const bool accepts_new = options.import_keys != nullptr &&
                           membership->Self().state == host_state::kLive;
  handover_receiver::outcome outcome =
      receiver.OnSlice(*message, accepts_new, stack->clock.Now());
  if (outcome.ack.has_value()) {
    messenger->Reply(request, *outcome.ack);
  }
  if (outcome.complete.has_value()) {
    import_executor->Submit([weak = weak_from_this(), request,
                             contents = std::move(*outcome.complete)] {
      const std::shared_ptr<core> locked = weak.lock();
      if (locked != nullptr) {
        locked->ImportTable(request, contents);
      }
    });
  }
}

void fleet_agent::core::ImportTable(const peer_request& request,
                                    const handover_contents& contents) {
  const result<std::vector<std::string>> parts =
      SplitHandoverParts(contents.bytes);
  if (!IsOk(parts) || !IsOk(options.import_keys(ValueOf(parts)))) {
    messenger->Reply(request, receiver.Finish(contents.incarnation, false));
    return;
  }
  std::vector<std::string> incarnations = contents.inherited_incarnations;
  incarnations.push_back(contents.incarnation);
  membership->Inherit(
      std::move(incarnations),
      [weak = weak_from_this(), request, incarnation = contents.incarnation] {
        const std::shared_ptr<core> locked = weak.lock();
        if (locked != nullptr) {
          locked->messenger->Reply(request,
                                   locked->receiver.Finish(incarnation, true));
        }
      });
}

fleet_agent::fleet_agent(const dependencies& dependencies,
                         fleet_options options)
    : fleet_agent(dependencies, std::move(options), replacements()) {}

fleet_agent::fleet_agent(const dependencies& dependencies,
                         fleet_options options,
                         replacements replacements)
    : core_(std::make_shared<core>(dependencies,
                                   std::move(options),
                                   std::move(replacements))) {
  core_->Connect(dependencies);
}

fleet_agent::~fleet_agent() {
  Stop();
}

status fleet_agent::Start() {
  status started = core_->messenger->Start();
  if (!IsOk(started)) {
    return started;
  }
  core_->membership->Start();
  core_->configuration->Start();
  core_->objects->Write(core_->membership->Self());
  core_->objects->ReadSeeds(
      [weak = std::weak_ptr<core>(core_)](const endpoint& seed) {
        const std::shared_ptr<core> locked = weak.lock();
        if (locked != nullptr) {
          locked->membership->AddSeed(seed);
        }
      });
  return OkStatus();
}

void fleet_agent::Stop() {
  core_->messenger->Stop();
  core_->membership->Stop();
  core_->configuration->Stop();
  core_->store_executor->Stop();
  core_->import_executor->Stop();
  if (core_->options.waits_for_actors) {
    const caf::scoped_actor waiter(core_->system);
    waiter->wait_for(core_->membership->actor(), core_->configuration->actor());
  }
}

const host_directory& fleet_agent::directory() const {
  return *core_->membership;
}

const snapshot_source& fleet_agent::snapshots() const {
  return *core_->configuration;
}

result<std::string> fleet_agent::Discover(const discovery_query& query) const {
  return DiscoveryResponse(query, core_->membership->Snapshot()->hosts,
                           *core_->configuration->Current(),
                           core_->options.discovery);
}

void fleet_agent::BeginLeaving() {
  core_->membership->BeginLeaving();
}

void fleet_agent::SetSelfSuspect(bool is_self_suspect) {
  core_->membership->SetSelfSuspect(is_self_suspect);
}

void fleet_agent::ReportCrash(const crash_report_message& report,
                              std::function<void()> done) {
  const bool is_allowed = [this] {
    const std::lock_guard<std::mutex> lock(core_->crash_budget_mutex);
    return core_->crash_budget.TryTake(core_->stack->clock.Now());
  }();
  std::vector<host_record> receivers;
  if (is_allowed) {
    const std::shared_ptr<const membership_snapshot> view =
        core_->membership->Snapshot();
    receivers =
        ReceiversOfCrashReport(view->hosts, view->self.id,
                               HostsOfService(report.service, view->hosts,
                                              *core_->configuration->Current(),
                                              core_->options.discovery.rules));
  }
  SendCrashReport(core_->messenger, receivers, report, std::move(done));
}

void fleet_agent::HandOverKeys(const std::vector<std::string>& parts,
                               handover_done done) {
  const std::shared_ptr<const membership_snapshot> snapshot =
      core_->membership->Snapshot();
  std::vector<const host_record*> candidates;
  std::vector<const host_record*> neighbours;
  for (const host_record& host : snapshot->hosts) {
    if (host.id != snapshot->self.id && host.state == host_state::kLive) {
      candidates.push_back(&host);
      if (host.zone == snapshot->self.zone) {
        neighbours.push_back(&host);
      }
    }
  }
  if (candidates.empty()) {
    done(error{error_code::kNotFound, "no other host is live"});
    return;
  }
  std::vector<const host_record*>& eligible =
      neighbours.empty() ? candidates : neighbours;
  SortByRendezvous(snapshot->self.incarnation, eligible);
  SendHandover(
      core_->messenger, eligible[0]->peer_address,
      {snapshot->self.incarnation, snapshot->self.inherited_incarnations,
       eligible[0]->incarnation, JoinHandoverParts(parts)},
      std::move(done));
}

}  // namespace bulrushshore

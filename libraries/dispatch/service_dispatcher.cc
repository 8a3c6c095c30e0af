#include "libraries/dispatch/service_dispatcher.h"

#include <utility>

#include <caf/all.hpp>

#include "libraries/base/random_source.h"
#include "libraries/dispatch/service_actor.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kStatusTimeout{1};
// Longer than any request runs.
constexpr std::chrono::minutes kWithdrawnActorTime{10};
// A service without a grant in this time does not count for self-suspicion.
constexpr std::chrono::seconds kRecentTraffic{10};

}  // namespace

service_dispatcher::service_dispatcher(caf::actor_system& system,
                                       service_dispatcher_options options,
                                       audit_log& audit,
                                       metric_registry& metrics)
    : system_(system),
      options_(std::move(options)),
      audit_(audit),
      metrics_(metrics),
      entries_(std::make_shared<const entry_map>()),
      draining_ips_(std::make_shared<const std::set<std::string>>()) {}

service_dispatcher::~service_dispatcher() {
  const std::shared_ptr<const entry_map> entries = Entries();
  for (const entry_map::value_type& entry : *entries) {
    StopActor(entry.second.actor);
  }
  if (options_.waits_for_actors) {
    const caf::scoped_actor waiter(system_);
    waiter->wait_for(stopping_);
  }
}

acquire_outcome service_dispatcher::Acquire(const acquire_request& request) {
  std::optional<service_entry> found;
  const std::shared_ptr<acquire_ticket> ticket = Submit(request, found);
  std::future<acquire_outcome> outcome = ticket->Outcome();
  if (outcome.wait_until(request.deadline) == std::future_status::ready ||
      !ticket->Abandon()) {
    return outcome.get();
  }
  caf::anon_send(found->actor, cancel_message{ticket});
  return refusal{refusal_reason::kQueueTimeout};
}

void service_dispatcher::Release(std::string_view service,
                                 std::uint64_t grant_id,
                                 const attempt_report& report) {
  const std::shared_ptr<const entry_map> entries = Entries();
  const auto position = entries->find(service);
  if (position != entries->end()) {
    caf::anon_send(position->second.actor, release_message{grant_id, report});
  }
}

std::future<acquire_outcome> service_dispatcher::BeginAcquire(
    const acquire_request& request) {
  std::optional<service_entry> found;
  return Submit(request, found)->Outcome();
}

void service_dispatcher::Apply(
    std::shared_ptr<const catalog_snapshot> snapshot) {
  const time_point now = system_.clock().now();
  entry_map next = *Entries();
  for (const std::map<std::string, service>::value_type& entry :
       snapshot->contents.services) {
    const auto known = next.find(entry.first);
    if (known == next.end()) {
      next.emplace(entry.first, StartActor(entry.first));
    } else {
      known->second.withdrawn_at.reset();
    }
  }
  for (auto entry = next.begin(); entry != next.end();) {
    std::optional<time_point>& withdrawn_at = entry->second.withdrawn_at;
    if (!snapshot->contents.services.contains(entry->first) && !withdrawn_at) {
      withdrawn_at = now;
    }
    if (withdrawn_at && now - *withdrawn_at >= kWithdrawnActorTime) {
      StopActor(entry->second.actor);
      entry = next.erase(entry);
      continue;
    }
    caf::anon_send(entry->second.actor, apply_message{snapshot});
    ++entry;
  }
  entries_.store(std::make_shared<const entry_map>(std::move(next)));
}

void service_dispatcher::StopActor(const caf::actor& actor) {
  std::erase_if(stopping_, [](const caf::actor_addr& address) {
    return caf::actor_cast<caf::strong_actor_ptr>(address) == nullptr;
  });
  stopping_.push_back(actor.address());
  caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
}

void service_dispatcher::SetDrainingMachines(std::set<std::string> ips) {
  draining_ips_ = std::make_shared<const std::set<std::string>>(std::move(ips));
  const std::shared_ptr<const entry_map> entries = Entries();
  for (const entry_map::value_type& entry : *entries) {
    caf::anon_send(entry.second.actor,
                   draining_machines_message{draining_ips_});
  }
}

std::vector<service_status> service_dispatcher::Status() const {
  std::vector<std::future<service_status>> answers;
  const std::shared_ptr<const entry_map> entries = Entries();
  for (const entry_map::value_type& entry : *entries) {
    if (entry.second.withdrawn_at) {
      continue;
    }
    const std::shared_ptr<std::promise<service_status>> answer =
        std::make_shared<std::promise<service_status>>();
    answers.push_back(answer->get_future());
    caf::anon_send(entry.second.actor, status_message{answer});
  }
  const std::chrono::steady_clock::time_point limit =
      std::chrono::steady_clock::now() + kStatusTimeout;
  std::vector<service_status> statuses;
  for (std::future<service_status>& answer : answers) {
    if (answer.wait_until(limit) == std::future_status::ready) {
      statuses.push_back(answer.get());
    }
  }
  return statuses;
}

void service_dispatcher::ReportProbe(std::string_view service,
                                     std::string_view target,
                                     const probe_report& report) {
  const std::shared_ptr<const entry_map> entries = Entries();
  const auto position = entries->find(service);
  if (position != entries->end()) {
    caf::anon_send(position->second.actor,
                   probe_message{std::string(target), report});
  }
}

void service_dispatcher::ReportLosses(std::string_view service,
                                      std::uint64_t fingerprint,
                                      std::vector<std::string> targets) {
  const std::shared_ptr<const entry_map> entries = Entries();
  const auto position = entries->find(service);
  if (position != entries->end()) {
    caf::anon_send(position->second.actor,
                   losses_message{fingerprint, std::move(targets)});
  }
}

bool service_dispatcher::ReleaseFingerprint(std::uint64_t fingerprint) {
  std::vector<std::future<bool>> answers;
  const std::shared_ptr<const entry_map> entries = Entries();
  for (const entry_map::value_type& entry : *entries) {
    const std::shared_ptr<std::promise<bool>> was_held =
        std::make_shared<std::promise<bool>>();
    answers.push_back(was_held->get_future());
    caf::anon_send(entry.second.actor,
                   release_fingerprint_message{fingerprint, was_held});
  }
  bool was_held = false;
  for (std::future<bool>& answer : answers) {
    const bool is_ready =
        answer.wait_for(kStatusTimeout) == std::future_status::ready;
    was_held = (is_ready && answer.get()) || was_held;
  }
  return was_held;
}

bool service_dispatcher::IsSelfSuspect() const {
  const time_point now = system_.clock().now();
  std::size_t with_traffic = 0;
  std::size_t suspect = 0;
  const std::shared_ptr<const entry_map> entries = Entries();
  for (const entry_map::value_type& entry : *entries) {
    const service_signals& signals = *entry.second.signals;
    const std::int64_t ticks = signals.last_grant_ticks;
    if (ticks == service_signals::kNeverGranted ||
        now - time_point(duration(ticks)) > kRecentTraffic) {
      continue;
    }
    ++with_traffic;
    suspect += signals.is_self_suspect ? 1 : 0;
  }
  return 2 * suspect > with_traffic;
}

void service_dispatcher::BeginShutdown() {
  is_shutting_down_ = true;
}

std::shared_ptr<acquire_ticket> service_dispatcher::Submit(
    const acquire_request& request,
    std::optional<service_entry>& found) {
  std::shared_ptr<acquire_ticket> ticket =
      std::make_shared<acquire_ticket>(request);
  const std::shared_ptr<const entry_map> entries = Entries();
  const auto position = entries->find(request.service);
  if (is_shutting_down_) {
    ticket->Deliver(refusal{refusal_reason::kShuttingDown});
  } else if (position == entries->end()) {
    ticket->Deliver(refusal{refusal_reason::kUnknownService});
  } else {
    found = position->second;
    caf::anon_send(found->actor, acquire_message{ticket});
  }
  return ticket;
}

std::shared_ptr<const service_dispatcher::entry_map>
service_dispatcher::Entries() const {
  return entries_.load();
}

service_dispatcher::service_entry service_dispatcher::StartActor(
    const std::string& service) {
  ++actors_started_;
  std::unique_ptr<random_source> random =
      options_.seed
          ? std::make_unique<seeded_random>(*options_.seed + actors_started_)
          : std::make_unique<seeded_random>(seeded_random::FromSystemEntropy());
  service_entry entry;
  entry.signals = std::make_shared<service_signals>();
  entry.actor = system_.spawn<service_actor>(
      std::make_unique<service_controller>(service, options_.zone,
                                           options_.policy, std::move(random)),
      std::make_unique<dispatch_telemetry>(service, options_.host_id, audit_,
                                           metrics_),
      entry.signals);
  caf::anon_send(entry.actor, draining_machines_message{draining_ips_});
  return entry;
}

}  // namespace bulrushshore

#include "libraries/membership/membership_agent.h"

#include <utility>

#include <caf/send.hpp>

#include "libraries/membership/membership_actor.h"

namespace bulrushshore {

namespace {

// A host lists an inherited incarnation only after it received the sealed table
// of that process, so its claim goes before the process itself. Of two claims
// that of the host in the better state holds: the other one handed the keys on.
void ClaimInherited(membership_snapshot& snapshot, std::size_t index) {
  const host_record& host = snapshot.hosts[index];
  for (const std::string& incarnation : host.inherited_incarnations) {
    const auto position =
        snapshot.key_owners.try_emplace(incarnation, index).first;
    if (host.state < snapshot.hosts[position->second].state) {
      position->second = index;
    }
  }
}

}  // namespace

membership_snapshot MakeMembershipSnapshot(const membership_view& view) {
  membership_snapshot snapshot;
  snapshot.self = view.self();
  snapshot.hosts = view.Records();
  for (std::size_t index = 0; index < snapshot.hosts.size(); ++index) {
    ClaimInherited(snapshot, index);
  }
  for (std::size_t index = 0; index < snapshot.hosts.size(); ++index) {
    snapshot.key_owners.try_emplace(snapshot.hosts[index].incarnation, index);
  }
  return snapshot;
}

membership_agent::membership_agent(const dependencies& dependencies,
                                   membership_options options,
                                   host_record self,
                                   std::uint64_t random_seed,
                                   listeners listeners) {
  seeded_random unused_random(random_seed);
  const membership_rounds initial(options, self, unused_random);
  published_ = std::make_shared<published<membership_snapshot>>(
      std::make_shared<const membership_snapshot>(
          MakeMembershipSnapshot(initial.view())));
  actor_ =
      dependencies.system.spawn<membership_actor>(membership_actor::arguments{
          dependencies.messenger, &dependencies.metrics, &dependencies.audit,
          std::move(options), std::move(self), random_seed,
          std::move(listeners), published_});
  const peer_messenger::request_handler forward =
      [actor = actor_](peer_request request) {
        caf::anon_send(actor, membership_request{std::move(request)});
      };
  dependencies.messenger->SetRequestHandler(digest_message(), forward);
  dependencies.messenger->SetRequestHandler(suspect_check_message(), forward);
  dependencies.messenger->SetRequestHandler(ping_message(), forward);
}

membership_agent::~membership_agent() {
  Stop();
}

void membership_agent::Start() {
  caf::anon_send(actor_, membership_start());
}

void membership_agent::Stop() {
  caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
}

void membership_agent::BeginLeaving() {
  caf::anon_send(actor_, membership_leave());
}

void membership_agent::SetSelfSuspect(bool is_self_suspect) {
  caf::anon_send(actor_, membership_self_suspect{is_self_suspect});
}

void membership_agent::SetCatalogVersion(std::uint64_t version) {
  caf::anon_send(actor_, membership_catalog_version{version});
}

void membership_agent::Inherit(std::vector<std::string> incarnations,
                               std::function<void()> done) {
  caf::anon_send(actor_,
                 membership_inherit{std::move(incarnations), std::move(done)});
}

void membership_agent::AddSeed(const endpoint& seed) {
  caf::anon_send(actor_, membership_seed{seed});
}

host_record membership_agent::Self() const {
  return published_->Get()->self;
}

std::vector<host_record> membership_agent::Hosts() const {
  return published_->Get()->hosts;
}

std::optional<host_record> membership_agent::FindKeyOwner(
    std::string_view incarnation) const {
  const std::shared_ptr<const membership_snapshot> snapshot = published_->Get();
  const auto position = snapshot->key_owners.find(incarnation);
  if (position == snapshot->key_owners.end()) {
    return std::nullopt;
  }
  return snapshot->hosts[position->second];
}

std::shared_ptr<const membership_snapshot> membership_agent::Snapshot() const {
  return published_->Get();
}

}  // namespace bulrushshore

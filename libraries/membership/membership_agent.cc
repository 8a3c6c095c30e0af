#include "libraries/membership/membership_agent.h"

#include <algorithm>
#include <utility>

#include <caf/send.hpp>

#include "libraries/membership/membership_actor.h"

namespace bulrushshore {

// A host lists an inherited incarnation only after it received the sealed table
// of that process, so its claim goes before the process itself. Of two claims
// that of the host in the better state holds: the other one handed the keys on.
const host_record* FindOwner(const std::vector<host_record>& hosts,
                             std::string_view incarnation) {
  const host_record* process = nullptr;
  const host_record* heir = nullptr;
  for (const host_record& host : hosts) {
    if (host.incarnation == incarnation) {
      process = &host;
    }
    const std::vector<std::string>& inherited = host.inherited_incarnations;
    const bool is_claimed = std::find(inherited.begin(), inherited.end(),
                                      incarnation) != inherited.end();
    if (is_claimed && (heir == nullptr || host.state < heir->state)) {
      heir = &host;
    }
  }
  return heir != nullptr ? heir : process;
}

membership_agent::membership_agent(const dependencies& dependencies,
                                   membership_options options,
                                   host_record self,
                                   std::uint64_t random_seed,
                                   listeners listeners) {
  seeded_random unused_random(random_seed);
  const membership_rounds initial(options, self, unused_random);
  published_ = std::make_shared<published<membership_snapshot>>(
      std::make_shared<const membership_snapshot>(membership_snapshot{
          initial.view().self(), initial.view().Records()}));
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
  const host_record* owner = FindOwner(snapshot->hosts, incarnation);
  if (owner == nullptr) {
    return std::nullopt;
  }
  return *owner;
}

std::shared_ptr<const membership_snapshot> membership_agent::Snapshot() const {
  return published_->Get();
}

}  // namespace bulrushshore

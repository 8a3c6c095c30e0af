#include "libraries/configuration/configuration_agent.h"

#include <algorithm>
#include <utility>

#include <caf/send.hpp>

#include "libraries/configuration/configuration_actor.h"
#include "libraries/membership/host_assignment.h"

namespace bulrushshore {

bool IsStoreWatcher(const std::string& self_id,
                    const std::vector<host_record>& hosts,
                    const configuration_options& options) {
  std::vector<const host_record*> live;
  const host_record* self = nullptr;
  for (const host_record& host : hosts) {
    self = host.id == self_id ? &host : self;
    if (host.state == host_state::kLive) {
      live.push_back(&host);
    }
  }
  if (live.size() <= options.watch_all_limit || self == nullptr) {
    return true;
  }
  std::erase_if(live, [self](const host_record* host) {
    return host->zone != self->zone;
  });
  SortByRendezvous("catalog/head", live);
  live.resize(std::min(live.size(), options.watchers_per_zone));
  return std::find(live.begin(), live.end(), self) != live.end();
}

configuration_agent::configuration_agent(const dependencies& dependencies,
                                         configuration_options options,
                                         std::uint64_t random_seed,
                                         snapshot_listener listener)
    : published_(std::make_shared<published<catalog_snapshot>>(
          std::make_shared<const catalog_snapshot>())) {
  actor_ = dependencies.system.spawn<configuration_actor>(
      configuration_actor::arguments{
          dependencies.messenger, dependencies.membership, &dependencies.store,
          dependencies.executor, &dependencies.metrics, &dependencies.audit,
          options, random_seed, std::move(listener), published_});
  dependencies.messenger->SetRequestHandler(
      parts_request_message(), [actor = actor_](peer_request request) {
        caf::anon_send(actor, configuration_request{std::move(request)});
      });
}

configuration_agent::~configuration_agent() {
  Stop();
}

void configuration_agent::Start() {
  caf::anon_send(actor_, configuration_tick());
}

void configuration_agent::Stop() {
  caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
}

void configuration_agent::OnPeerVersion(const endpoint& peer,
                                        std::uint64_t version) {
  caf::anon_send(actor_, configuration_peer_version{peer, version});
}

std::shared_ptr<const catalog_snapshot> configuration_agent::Current() const {
  return published_->Get();
}

}  // namespace bulrushshore

#include "libraries/proxy/connection_bound.h"

#include <chrono>
#include <utility>

namespace bulrushshore {
namespace {

// Finding the set of a service takes 0.3 ms at 600 hosts, which is too much for
// each request.
constexpr std::chrono::seconds kMaxAge(2);

}  // namespace

connection_bound::connection_bound(const snapshot_source& configuration,
                                   const host_directory& directory,
                                   const clock& source)
    : configuration_(configuration), directory_(directory), clock_(source) {}

std::size_t connection_bound::Of(const target& chosen) {
  const service_host_set hosts = HostsOf(chosen.service);
  const connection_shares shares =
      ShareConnections(chosen.max_connections, hosts.size);
  return hosts.is_member ? shares.of_member : shares.of_other;
}

service_host_set connection_bound::HostsOf(const std::string& service) {
  const time_point now = clock_.Now();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = sets_.find(service);
    if (found != sets_.end() && now - found->second.known_since < kMaxAge) {
      return found->second.hosts;
    }
    std::erase_if(sets_,
                  [now](const std::pair<const std::string, known_set>& set) {
                    return now - set.second.known_since >= kMaxAge;
                  });
  }
  // Outside the lock, so that requests of other services do not wait for it.
  const std::shared_ptr<const catalog_snapshot> snapshot =
      configuration_.Current();
  const service_host_set hosts = HostSetOf(service, directory_.Self().id,
                                           directory_.Hosts(), *snapshot, {});
  const std::lock_guard<std::mutex> lock(mutex_);
  sets_[service] = {hosts, now};
  return hosts;
}

}  // namespace bulrushshore

#include "libraries/membership/host_assignment.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include <xxhash.h>

namespace bulrushshore {

std::uint64_t RendezvousWeight(std::string_view key, std::string_view host_id) {
  const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(host_id.data(), host_id.size(), seed);
}

void SortByRendezvous(std::string_view key,
                      std::vector<const host_record*>& hosts) {
  std::vector<std::pair<std::uint64_t, const host_record*>> weighted;
  weighted.reserve(hosts.size());
  for (const host_record* host : hosts) {
    weighted.emplace_back(RendezvousWeight(key, host->id), host);
  }
  std::sort(weighted.begin(), weighted.end(),
            [](const std::pair<std::uint64_t, const host_record*>& left,
               const std::pair<std::uint64_t, const host_record*>& right) {
              return left.first != right.first
                         ? left.first > right.first
                         : left.second->id < right.second->id;
            });
  std::transform(weighted.begin(), weighted.end(), hosts.begin(),
                 [](const std::pair<std::uint64_t, const host_record*>& item) {
                   return item.second;
                 });
}

std::size_t HostsPerZone(const assignment_rules& rules,
                         std::uint64_t slots,
                         std::size_t zones) {
  const std::uint64_t slots_per_rank =
      static_cast<std::uint64_t>(rules.slots_per_host) * zones;
  const std::size_t for_peak =
      static_cast<std::size_t>((slots + slots_per_rank - 1) / slots_per_rank);
  return std::max(rules.minimum_hosts_per_zone, for_peak);
}

std::vector<const host_record*> AssignHosts(
    std::string_view service,
    std::uint64_t slots,
    const std::vector<host_record>& hosts,
    const assignment_rules& rules) {
  std::map<std::string_view, std::vector<const host_record*>> by_zone;
  for (const host_record& host : hosts) {
    if (host.state == host_state::kLive) {
      by_zone[host.zone].push_back(&host);
    }
  }
  std::vector<const host_record*> assigned;
  if (by_zone.empty()) {
    return assigned;
  }
  const std::size_t per_zone = HostsPerZone(rules, slots, by_zone.size());
  for (std::pair<const std::string_view, std::vector<const host_record*>>&
           zone : by_zone) {
    SortByRendezvous(service, zone.second);
    zone.second.resize(std::min(per_zone, zone.second.size()));
    assigned.insert(assigned.end(), zone.second.begin(), zone.second.end());
  }
  return assigned;
}

connection_shares ShareConnections(std::uint32_t max_connections,
                                   std::size_t members) {
  constexpr std::uint32_t kPartsOfMembers = 3;
  constexpr std::uint32_t kParts = 4;
  const std::uint32_t divisor =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, members));
  const std::uint32_t for_members = static_cast<std::uint32_t>(
      std::uint64_t{max_connections} * kPartsOfMembers / kParts);
  const std::uint32_t for_others = max_connections - for_members;
  return {std::max(1U, for_members / divisor),
          std::max(1U, for_others / divisor)};
}

}  // namespace bulrushshore

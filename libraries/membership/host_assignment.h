#ifndef LIBRARIES_MEMBERSHIP_HOST_ASSIGNMENT_H_
#define LIBRARIES_MEMBERSHIP_HOST_ASSIGNMENT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "libraries/peer_protocol/host_record.h"

namespace bulrushshore {

struct assignment_rules {
  std::size_t minimum_hosts_per_zone = 2;
  // Slots of a service's targets that one host of its set is meant to feed. A
  // full-size fleet has 78 slots per host, spread over about five services.
  std::uint32_t slots_per_host = 16;
};

// Returns the weight of `host_id` for `key`: of several hosts the one with the
// highest weight comes first (rendezvous hashing), so that a host that comes or
// goes moves only its own share. Thread safe.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view host_id);

// Orders `hosts` by falling weight for `key`. Thread safe.
void SortByRendezvous(std::string_view key,
                      std::vector<const host_record*>& hosts);

// Returns the number of hosts per zone that serve a service whose targets have
// `slots` slots in all. Precondition: `zones` > 0. Thread safe.
std::size_t HostsPerZone(const assignment_rules& rules,
                         std::uint64_t slots,
                         std::size_t zones);

// Returns the live hosts that serve `service`, the same number in each zone as
// far as the zones have enough hosts, each zone's in falling weight. Pointers
// refer to `hosts`. Thread safe.
std::vector<const host_record*> AssignHosts(
    std::string_view service,
    std::uint64_t slots,
    const std::vector<host_record>& hosts,
    const assignment_rules& rules);

// Connections that a host may hold to one target of a service.
struct connection_shares {
  // A host of the service's set.
  std::uint32_t of_member = 0;
  // Any other host, which serves callers with an old discovery response.
  std::uint32_t of_other = 0;
};

// Divides the connections of a target: three quarters among the `members` hosts
// of the service's set, the rest among as many other hosts, so that the target
// is not overrun when the whole set has just been replaced. At least one each.
// Thread safe.
connection_shares ShareConnections(std::uint32_t max_connections,
                                   std::size_t members);

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_HOST_ASSIGNMENT_H_

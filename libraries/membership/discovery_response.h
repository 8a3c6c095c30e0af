#ifndef LIBRARIES_MEMBERSHIP_DISCOVERY_RESPONSE_H_
#define LIBRARIES_MEMBERSHIP_DISCOVERY_RESPONSE_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/catalog/types.h"
#include "libraries/membership/host_assignment.h"
#include "libraries/peer_protocol/host_record.h"

namespace bulrushshore {

struct discovery_options {
  assignment_rules rules;
  // How long callers may use the response.
  std::chrono::milliseconds ttl{5000};
};

struct discovery_query {
  std::string service;
  // Availability zone of the caller; empty if it gave none.
  std::string zone;
  // Text that differs between callers, for example their IP address and port.
  // It fixes the order within a zone, so that the callers of a lost host spread
  // over the remaining ones instead of gathering on the next.
  std::string caller;
};

// Returns the key prefix that callers of `host` put in front of their own part
// of an idempotency key. Thread safe.
std::string KeyPrefix(const host_record& host);

// Returns the prefix that a host gives to callers that ask for it: kUnavailable
// before its first configuration, since it could not run what comes with the
// key. Thread safe.
result<std::string> KeyPrefixForCallers(const host_record& self);

// Returns the hosts that discovery responses name for `service`, in no order.
// Empty for a service that `catalog` does not have. Thread safe.
std::vector<host_record> HostsOfService(const std::string& service,
                                        const std::vector<host_record>& hosts,
                                        const catalog_snapshot& catalog,
                                        const assignment_rules& rules);

// Returns the JSON text that answers `query`: the hosts that serve the service,
// those of the caller's zone first. Hosts that are leaving, suspected or lost,
// hosts without a configuration, and hosts that suspect themselves while others
// do not, are left out.
// kNotFound for a service that `catalog` does not have, kUnavailable before the
// first configuration. Thread safe.
result<std::string> DiscoveryResponse(const discovery_query& query,
                                      const std::vector<host_record>& hosts,
                                      const catalog_snapshot& catalog,
                                      const discovery_options& options);

// The set of hosts that callers of a service are told.
struct service_host_set {
  std::size_t size = 0;
  // The host in question belongs to it.
  bool is_member = false;
};

// Returns the size of the set that DiscoveryResponse() gives for `service` and
// whether the host `host_id` belongs to it. Thread safe.
service_host_set HostSetOf(const std::string& service,
                           std::string_view host_id,
                           const std::vector<host_record>& hosts,
                           const catalog_snapshot& catalog,
                           const assignment_rules& rules);

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_DISCOVERY_RESPONSE_H_

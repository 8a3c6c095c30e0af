#include "libraries/membership/discovery_response.h"

#include <algorithm>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

// Targets are keyed by "service/target", so those of one service are adjacent.
std::uint64_t RegisteredSlots(const std::string& service,
                              const catalog_contents& contents) {
  const std::string prefix = service + "/";
  std::uint64_t slots = 0;
  auto position = contents.targets.lower_bound(prefix);
  while (position != contents.targets.end() &&
         position->first.starts_with(prefix)) {
    slots += position->second.slots;
    position = std::next(position);
  }
  return slots;
}

nlohmann::json DescribeHost(const host_record& host) {
  return {{"id", host.id},
          {"address", FormatEndpoint(host.caller_address)},
          {"zone", host.zone},
          {"key_prefix", KeyPrefix(host)}};
}

bool HasConfiguration(const host_record& host) {
  return host.catalog_version > 0;
}

std::vector<host_record> HostsForCallers(
    const std::vector<host_record>& hosts) {
  std::vector<host_record> usable;
  for (const host_record& host : hosts) {
    if (host.state == host_state::kLive && !host.is_self_suspect &&
        HasConfiguration(host)) {
      usable.push_back(host);
    }
  }
  // When every host suspects itself, the fault lies elsewhere.
  return usable.empty() ? hosts : usable;
}

}  // namespace

std::string KeyPrefix(const host_record& host) {
  return "bk1." + host.id + "." + host.incarnation + "." +
         std::to_string(host.key_generation);
}

result<std::string> KeyPrefixForCallers(const host_record& self) {
  if (!HasConfiguration(self)) {
    return error{error_code::kUnavailable, "no configuration yet"};
  }
  return KeyPrefix(self);
}

std::vector<host_record> HostsOfService(const std::string& service,
                                        const std::vector<host_record>& hosts,
                                        const catalog_snapshot& catalog,
                                        const assignment_rules& rules) {
  std::vector<host_record> assigned;
  if (catalog.contents.services.count(service) == 0) {
    return assigned;
  }
  const std::vector<host_record> usable = HostsForCallers(hosts);
  const std::uint64_t slots = RegisteredSlots(service, catalog.contents);
  const std::vector<const host_record*> members =
      AssignHosts(service, slots, usable, rules);
  for (const host_record* member : members) {
    assigned.push_back(*member);
  }
  return assigned;
}

result<std::string> DiscoveryResponse(const discovery_query& query,
                                      const std::vector<host_record>& hosts,
                                      const catalog_snapshot& catalog,
                                      const discovery_options& options) {
  if (catalog.version == 0) {
    return error{error_code::kUnavailable, "no configuration yet"};
  }
  if (catalog.contents.services.count(query.service) == 0) {
    return error{error_code::kNotFound, "unknown service " + query.service};
  }
  const std::vector<host_record> members =
      HostsOfService(query.service, hosts, catalog, options.rules);
  std::vector<const host_record*> assigned;
  assigned.reserve(members.size());
  for (const host_record& member : members) {
    assigned.push_back(&member);
  }
  SortByRendezvous(query.caller, assigned);
  std::stable_partition(
      assigned.begin(), assigned.end(),
      [&query](const host_record* host) { return host->zone == query.zone; });
  nlohmann::json list = nlohmann::json::array();
  for (const host_record* host : assigned) {
    list.push_back(DescribeHost(*host));
  }
  const nlohmann::json response = {{"service", query.service},
                                   {"catalog_version", catalog.version},
                                   {"ttl_ms", options.ttl.count()},
                                   {"hosts", list}};
  return response.dump();
}

service_host_set HostSetOf(const std::string& service,
                           std::string_view host_id,
                           const std::vector<host_record>& hosts,
                           const catalog_snapshot& catalog,
                           const assignment_rules& rules) {
  const std::vector<host_record> members =
      HostsOfService(service, hosts, catalog, rules);
  const bool is_member = std::any_of(
      members.begin(), members.end(),
      [host_id](const host_record& host) { return host.id == host_id; });
  return {members.size(), is_member};
}

}  // namespace bulrushshore

#include "libraries/rules/rule_index.h"

#include <cassert>
#include <utility>

#include "libraries/routing/route_table.h"

namespace bulrushshore {
namespace {

std::string IndexKey(std::string_view host_name, std::string_view prefix) {
  std::string key(host_name);
  key += ' ';
  key += prefix;
  return key;
}

}  // namespace

rule_index::rule_index(std::shared_ptr<const rule_set> rules)
    : rules_(std::move(rules)) {
  assert(rules_);
  for (const std::map<std::string, route_rule>::value_type& entry :
       rules_->routes) {
    routes_.emplace(
        IndexKey(HostNameOf(entry.second.host_name), entry.second.path_prefix),
        &entry.second);
  }
}

const route_rule* rule_index::Find(std::string_view host_header,
                                   std::string_view request_target) const {
  const std::string host_name = HostNameOf(host_header);
  std::string_view prefix = request_target.substr(0, request_target.find('?'));
  while (true) {
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    prefix = prefix.substr(0, slash + 1);
    const auto found = routes_.find(IndexKey(host_name, prefix));
    if (found != routes_.end()) {
      return found->second;
    }
    prefix.remove_suffix(1);
  }
}

const std::string& ChooseService(const route_rule& route,
                                 random_source& random) {
  assert(!route.services.empty());
  double total_weight = 0.0;
  for (const weighted_service& candidate : route.services) {
    total_weight += candidate.weight;
  }
  double remaining_weight = random.UniformReal() * total_weight;
  for (const weighted_service& candidate : route.services) {
    remaining_weight -= candidate.weight;
    if (remaining_weight < 0.0) {
      return candidate.service;
    }
  }
  return route.services.back().service;
}

}  // namespace bulrushshore

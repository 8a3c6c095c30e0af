#include "libraries/routing/route_table.h"

#include <algorithm>

#include "libraries/routing/request_target.h"

namespace bulrushshore {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& character : lower) {
    if (character >= 'A' && character <= 'Z') {
      character = static_cast<char>(character - 'A' + 'a');
    }
  }
  return lower;
}

std::string PrefixKey(const std::string& path_prefix) {
  const result<request_target> parsed = ParseRequestTarget(path_prefix);
  std::string key = IsOk(parsed) ? ValueOf(parsed).path : path_prefix;
  if (!key.empty() && key.back() == '/') {
    key.pop_back();
  }
  return key;
}

}  // namespace

std::string HostNameOf(std::string_view host_header) {
  const std::size_t bracket = host_header.rfind(']');
  const std::size_t colon = host_header.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || colon > bracket);
  return LowerCase(has_port ? host_header.substr(0, colon) : host_header);
}

route_table::route_table(const catalog_contents& contents) {
  prefixes_.reserve(contents.routes.size());
  for (const std::map<std::string, route>::value_type& entry :
       contents.routes) {
    Add(entry.second);
  }
}

void route_table::Add(const route& added) {
  const std::string key = PrefixKey(added.path_prefix);
  longest_prefix_ = std::max(longest_prefix_, key.size());
  ++size_;
  routes_of_prefix& routes = prefixes_[key];
  if (!added.host_name.empty()) {
    routes.by_host.try_emplace(LowerCase(added.host_name), added);
    return;
  }
  if (!routes.any_host.has_value()) {
    routes.any_host = added;
  }
}

const route* route_table::Find(std::string_view path,
                               std::string_view host_name) const {
  std::string_view prefix = path;
  while (true) {
    if (prefix.size() <= longest_prefix_) {
      const route* const found = FindPrefix(prefix, host_name);
      if (found != nullptr) {
        return found;
      }
    }
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    prefix = prefix.substr(0, slash);
  }
}

const route* route_table::FindPrefix(std::string_view prefix,
                                     std::string_view host_name) const {
  const auto found = prefixes_.find(prefix);
  if (found == prefixes_.end()) {
    return nullptr;
  }
  const routes_of_prefix& routes = found->second;
  const auto of_host = routes.by_host.find(host_name);
  if (of_host != routes.by_host.end()) {
    return &of_host->second;
  }
  return routes.any_host.has_value() ? &*routes.any_host : nullptr;
}

}  // namespace bulrushshore

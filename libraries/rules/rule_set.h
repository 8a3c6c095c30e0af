#ifndef LIBRARIES_RULES_RULE_SET_H_
#define LIBRARIES_RULES_RULE_SET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrushshore {

// A service that receives a share of a route's requests.
struct weighted_service {
  std::string service;
  // Positive. The service's share of the requests is its weight divided by the
  // sum of the weights of the route's services.
  double weight = 1.0;

  bool operator==(const weighted_service&) const = default;
};

// The operator's settings for requests to one host name and path prefix.
struct route_rule {
  std::string name;
  std::string host_name;
  // Starts and ends with '/'.
  std::string path_prefix;
  // Not empty.
  std::vector<weighted_service> services;
  // Whether a request may be executed more than once.
  bool is_idempotent = false;
  // Maximum time that a caller waits for the response.
  std::chrono::milliseconds timeout{5000};
  // The operator's latency objective.
  std::chrono::milliseconds target_latency{2000};
  // Maximum number of targets to which one request is sent, including the
  // first. Attempts that could not connect do not count.
  std::uint32_t max_attempts = 1;
  // 0 is the highest priority.
  std::int64_t priority = 0;

  bool operator==(const route_rule&) const = default;
};

// The operator's settings for one service.
struct service_rule {
  // Maximum number of connections that one target accepts from all hosts
  // together.
  std::uint32_t max_connections = 0;

  bool operator==(const service_rule&) const = default;
};

// Limits on the size of a caller's request and on the time for which its
// connection may stay inactive.
struct caller_limits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint64_t max_body_bytes = 1'048'576;
  // While a request is being received, header or body.
  std::chrono::milliseconds header_timeout{3000};
  // Between requests, and while the caller does not read its response.
  std::chrono::milliseconds idle_timeout{15'000};

  bool operator==(const caller_limits&) const = default;
};

// One version of the operator's configuration. Immutable once published.
struct rule_set {
  std::uint64_t version = 0;
  // By route name.
  std::map<std::string, route_rule> routes;
  // By service name.
  std::map<std::string, service_rule> services;
  caller_limits limits;

  bool operator==(const rule_set&) const = default;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_RULES_RULE_SET_H_

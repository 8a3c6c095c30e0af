#ifndef LIBRARIES_RULES_RULE_SET_H_
#define LIBRARIES_RULES_RULE_SET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrushshore {

// A service that takes a share of a route's requests.
struct weighted_service {
  std::string service;
  // Share relative to the other services of the route; positive.
  double weight = 1.0;

  bool operator==(const weighted_service&) const = default;
};

// What an operator asks for the requests of one host name and path prefix.
struct route_rule {
  std::string name;
  std::string host_name;
  // Starts and ends with '/'.
  std::string path_prefix;
  // Not empty.
  std::vector<weighted_service> services;
  // Such requests may run more than once.
  bool is_idempotent = false;
  // Longest time that a caller is kept waiting.
  std::chrono::milliseconds timeout{5000};
  // Latency that the operator aims at.
  std::chrono::milliseconds target_latency{2000};
  // Targets to which one request may be sent.
  std::uint32_t max_attempts = 1;
  // 0 is the most urgent.
  std::int64_t priority = 0;

  bool operator==(const route_rule&) const = default;
};

struct service_rule {
  // Connections that one target accepts from all hosts together.
  std::uint32_t max_connections = 0;

  bool operator==(const service_rule&) const = default;
};

// What a caller may send and how long its connection may stay idle.
struct caller_limits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint64_t max_body_bytes = 1'048'576;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15'000};

  bool operator==(const caller_limits&) const = default;
};

// One version of the operator's configuration. Immutable once published.
struct rule_set {
  std::uint64_t version = 0;
  std::map<std::string, route_rule> routes;
  std::map<std::string, service_rule> services;
  caller_limits limits;

  bool operator==(const rule_set&) const = default;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_RULES_RULE_SET_H_

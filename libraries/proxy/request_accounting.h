#ifndef LIBRARIES_PROXY_REQUEST_ACCOUNTING_H_
#define LIBRARIES_PROXY_REQUEST_ACCOUNTING_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/clock.h"
#include "libraries/proxy/outcome.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

// What is counted and logged about one request.
struct request_record {
  std::string request_id;
  std::string method;
  std::string path;
  // Empty if no route matched.
  std::string service;
  std::string route;
  std::string organisation;
  // Target of the last attempt, or the host that the request was forwarded to.
  std::string target;
  std::uint32_t attempts = 0;
  bool is_forwarded_here = false;
  bool is_forwarded_away = false;
  bool is_stored_response = false;
  outcome_kind kind = outcome_kind::kUnknown;
  // Empty for kAnswered.
  std::string reason;
  int status = 0;
  duration elapsed{};
};

// Counts requests and writes one log line for each: failed ones at info level,
// the others at debug level. docs/metrics.md lists the counters. Thread safe.
class request_accounting {
 public:
  // Precondition: `metrics` outlives this object.
  explicit request_accounting(metric_registry& metrics);

  void Add(const request_record& record);

  // Counts a request that could not be read.
  void AddUnread(failure_point point);

 private:
  metric_registry& metrics_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_REQUEST_ACCOUNTING_H_

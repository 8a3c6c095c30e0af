#ifndef UTILITIES_CALLER_TOOL_WORK_MIX_H_
#define UTILITIES_CALLER_TOOL_WORK_MIX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/random_source.h"
#include "libraries/base/result.h"
#include "libraries/caller/caller.h"

namespace bulrushshore {

// One kind of request that a load run sends.
struct work_kind {
  std::string service;
  std::string kind;
  std::string path;
  std::uint64_t weight = 1;
  repeat_policy repeat = repeat_policy::kIdempotent;
  // Asks the stand-in target for this work time.
  std::optional<double> work_ms;
};

// Parses "SERVICE:KIND:PATH:WEIGHT:REPEAT[:WORK_MS],...", where REPEAT is
// idempotent, keyed or once and WEIGHT a positive integer. Thread safe.
result<std::vector<work_kind>> ParseWorkMix(std::string_view text);

// Returns the name of `policy` as ParseWorkMix() takes it. Thread safe.
std::string_view RepeatPolicyName(repeat_policy policy);

// One request of a load run.
struct planned_request {
  // Time from the start of the run.
  duration arrival{};
  const work_kind* kind = nullptr;
  std::uint64_t organisation = 0;
};

struct arrival_plan {
  double requests_per_second = 100.0;
  duration length = std::chrono::seconds(10);
  // Exponential gaps between arrivals instead of equal ones.
  bool is_poisson = false;
  std::uint64_t organisations = 1;
};

// Plans all arrivals of a run in order; the same `random` state gives the same
// plan. Precondition: `kinds` is not empty and outlives the result. Not thread
// safe.
std::vector<planned_request> PlanArrivals(const arrival_plan& plan,
                                          const std::vector<work_kind>& kinds,
                                          random_source& random);

// Builds the request for `kind`. Thread safe.
call_request BuildCallRequest(const work_kind& kind,
                              std::string_view request_id);

}  // namespace bulrushshore

#endif  // UTILITIES_CALLER_TOOL_WORK_MIX_H_

#ifndef UTILITIES_CALLER_TOOL_LOAD_RUN_H_
#define UTILITIES_CALLER_TOOL_LOAD_RUN_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/caller/caller.h"
#include "utilities/caller_tool/history_recorder.h"
#include "utilities/caller_tool/latency_histogram.h"
#include "utilities/caller_tool/work_mix.h"

namespace bulrushshore {

// What happened to the requests of one service and kind.
struct kind_totals {
  std::map<std::string, std::uint64_t> outcomes;
  // Calls that were not answered, by "OUTCOME:REASON".
  std::map<std::string, std::uint64_t> failures;
  // Responses with status 5xx among the answered ones.
  std::uint64_t server_errors = 0;
  std::uint64_t attempts = 0;
  // From the planned arrival to the end of the call, answered calls only.
  latency_histogram latencies;
};

// Ordered by "SERVICE/KIND".
using load_totals = std::map<std::string, kind_totals>;

// Adds `part` to `sum`. Thread safe.
void AddTotals(const kind_totals& part, kind_totals& sum);

struct load_run_options {
  // Calls under way at the same time; later arrivals wait, and their waiting
  // counts as latency.
  std::size_t concurrency = 64;
  duration timeout = std::chrono::seconds(5);
  // Starts every request id.
  std::string run_id;
};

// Sends `requests` at their planned arrivals and returns when all have ended.
// Blocks. Precondition: `requests` is ordered by arrival.
load_totals RunLoad(const load_run_options& options,
                    const std::vector<planned_request>& requests,
                    caller& client,
                    history_recorder& recorder,
                    retry_timer& timer,
                    const clock& time);

}  // namespace bulrushshore

#endif  // UTILITIES_CALLER_TOOL_LOAD_RUN_H_

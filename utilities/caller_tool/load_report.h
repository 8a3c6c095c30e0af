#ifndef UTILITIES_CALLER_TOOL_LOAD_REPORT_H_
#define UTILITIES_CALLER_TOOL_LOAD_REPORT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "libraries/caller/caller.h"
#include "utilities/caller_tool/load_run.h"

namespace bulrushshore {

// Returns {"kinds": [{"service_kind", "requests", "answered", "not_run",
// "unknown", "refused", "failures", "server_errors", "attempts", "p50_ms",
// "p90_ms", "p99_ms", "p999_ms", "max_ms"}]} with a last entry "all";
// "failures" counts the calls without an answer by "OUTCOME:REASON". Thread
// safe.
nlohmann::json DescribeLoad(const load_totals& totals);

// Formats what DescribeLoad() returned with one line per kind. Thread safe.
std::string FormatLoadTable(const nlohmann::json& report);

// Returns {"outcome", "reason", "host", "key", "attempts", "status", "body"}.
// Thread safe.
nlohmann::json DescribeCall(const call_result& result);

}  // namespace bulrushshore

#endif  // UTILITIES_CALLER_TOOL_LOAD_REPORT_H_

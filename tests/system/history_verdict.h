#ifndef TESTS_SYSTEM_HISTORY_VERDICT_H_
#define TESTS_SYSTEM_HISTORY_VERDICT_H_

#include <cstdint>
#include <map>
#include <string>

#include "libraries/base/result.h"
#include "libraries/history/history_check.h"
#include "libraries/history/operation_history.h"

namespace bulrushshore {

// Reads all history files (*.jsonl) of a folder.
result<operation_history> ReadHistories(const std::string& folder);

// Returns one line of JSON: operations, outcomes, why operations did not run,
// violations by kind, the faults injected by kind, and the share of
// non-repeatable work that ended unknown. Precondition: `report` is about
// `history`.
std::string DescribeVerdict(
    const operation_history& history,
    const history_report& report,
    const std::map<std::string, std::uint64_t>& injected);

// Returns the number of executions of work of `kind`.
std::uint64_t CountRuns(const operation_history& history,
                        const std::string& kind);

// Returns the number of operations that were answered after the last
// execution of work of `kind`.
std::uint64_t CountAnswersAfter(const operation_history& history,
                                const std::string& kind);

}  // namespace bulrushshore

#endif  // TESTS_SYSTEM_HISTORY_VERDICT_H_

#include "tests/system/history_verdict.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

std::map<std::string, std::uint64_t> CountNotRunReasons(
    const operation_history& history) {
  std::map<std::string, std::uint64_t> reasons;
  for (const std::map<std::string, operation_record>::value_type& entry :
       history.operations()) {
    for (const completion_event& completion : entry.second.completions) {
      if (completion.outcome == recorded_outcome::kNotRun) {
        ++reasons[completion.reason];
      }
    }
  }
  return reasons;
}

}  // namespace

result<operation_history> ReadHistories(const std::string& folder) {
  operation_history history;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".jsonl") {
      continue;
    }
    std::ifstream file(entry.path());
    const status added =
        history.AddFile(entry.path().filename().string(), file);
    if (!IsOk(added)) {
      return ErrorOf(added);
    }
  }
  return history;
}

std::string DescribeVerdict(
    const operation_history& history,
    const history_report& report,
    const std::map<std::string, std::uint64_t>& injected) {
  nlohmann::json violations = nlohmann::json::object();
  for (std::size_t kind = 0; kind < kViolationKinds; ++kind) {
    const violation_kind value = static_cast<violation_kind>(kind);
    violations[std::string(ViolationKindName(value))] = report.CountOf(value);
  }
  nlohmann::json details = nlohmann::json::array();
  for (const violation& found : report.violations) {
    details.push_back(std::string(ViolationKindName(found.kind)) + " " +
                      found.subject + " " + found.detail);
  }
  const nlohmann::json description = {
      {"operations", report.operations},
      {"runs", report.runs},
      {"answered", report.answered},
      {"not_run", report.not_run},
      {"unknown", report.unknown},
      {"refused", report.refused},
      {"non_repeatable", report.non_repeatable},
      {"non_repeatable_unknown", report.non_repeatable_unknown},
      {"non_repeatable_unknown_share", report.UnknownShare()},
      {"violations", violations},
      {"details", details},
      {"not_run_reasons", CountNotRunReasons(history)},
      {"faults", injected}};
  return description.dump();
}

std::uint64_t CountRuns(const operation_history& history,
                        const std::string& kind) {
  return static_cast<std::uint64_t>(std::count_if(
      history.runs().begin(), history.runs().end(),
      [&kind](const std::map<std::string, run_record>::value_type& entry) {
        return entry.second.start.kind == kind;
      }));
}

std::uint64_t CountAnswersAfter(const operation_history& history,
                                const std::string& kind) {
  std::int64_t last_ms = 0;
  for (const std::map<std::string, run_record>::value_type& entry :
       history.runs()) {
    const work_start_event& start = entry.second.start;
    last_ms = start.kind == kind ? std::max(last_ms, start.unix_ms) : last_ms;
  }
  std::uint64_t answers = 0;
  for (const std::map<std::string, operation_record>::value_type& entry :
       history.operations()) {
    for (const completion_event& completion : entry.second.completions) {
      const bool is_counted =
          completion.outcome == recorded_outcome::kAnswered &&
          completion.unix_ms > last_ms;
      answers += is_counted ? 1 : 0;
    }
  }
  return answers;
}

}  // namespace bulrushshore

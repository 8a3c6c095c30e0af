// bulrush_check: decides whether recorded histories hold a violation.
//
// Exit codes: 0 no violation, 1 at least one violation, 2 wrong usage, 3 a
// file cannot be read or contradicts itself.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "libraries/history/history_check.h"
#include "libraries/history/operation_history.h"

DEFINE_string(output, "table", "table or json");
DEFINE_uint64(max_details, 20, "violations that are printed one by one");

namespace bulrushshore {
namespace {

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreadable = 3;

nlohmann::json Describe(const history_report& report,
                        const operation_history& history) {
  nlohmann::json counts = nlohmann::json::object();
  for (std::size_t kind = 0; kind < kViolationKinds; ++kind) {
    const violation_kind value = static_cast<violation_kind>(kind);
    counts[std::string(ViolationKindName(value))] = report.CountOf(value);
  }
  nlohmann::json details = nlohmann::json::array();
  for (const violation& found : report.violations) {
    if (details.size() < FLAGS_max_details) {
      details.push_back({{"kind", ViolationKindName(found.kind)},
                         {"subject", found.subject},
                         {"detail", found.detail}});
    }
  }
  return {{"operations", report.operations},
          {"runs", report.runs},
          {"answered", report.answered},
          {"not_run", report.not_run},
          {"unknown", report.unknown},
          {"refused", report.refused},
          {"non_repeatable", report.non_repeatable},
          {"non_repeatable_unknown_share", report.UnknownShare()},
          {"incomplete_lines", history.incomplete_lines()},
          {"violations", report.violations.size()},
          {"violations_by_kind", counts},
          {"details", details}};
}

void PrintTable(const nlohmann::json& description) {
  for (auto field = description.begin(); field != description.end(); ++field) {
    if (field.value().is_primitive()) {
      std::cout << field.key() << " " << field.value() << "\n";
    }
  }
  const nlohmann::json& counts = description["violations_by_kind"];
  for (auto count = counts.begin(); count != counts.end(); ++count) {
    std::cout << "violation " << count.key() << " " << count.value() << "\n";
  }
  for (const nlohmann::json& found : description["details"]) {
    std::cout << "found " << found["kind"].get<std::string>() << " "
              << found["subject"].get<std::string>() << " "
              << found["detail"].get<std::string>() << "\n";
  }
}

status AddFile(const std::string& path, operation_history& history) {
  std::ifstream file(path);
  if (!file) {
    return error{error_code::kNotFound, "cannot open " + path};
  }
  return history.AddFile(path, file);
}

int Main(int file_count, char** files) {
  if (file_count == 0 || (FLAGS_output != "table" && FLAGS_output != "json")) {
    std::cerr << "usage: bulrush_check [--output=table|json] FILE...\n";
    return kExitUsage;
  }
  operation_history history;
  for (int index = 0; index < file_count; ++index) {
    const status added = AddFile(files[index], history);
    if (!IsOk(added)) {
      std::cerr << ErrorOf(added).message << "\n";
      return kExitUnreadable;
    }
  }
  const history_report report = CheckHistory(history);
  const nlohmann::json description = Describe(report, history);
  if (FLAGS_output == "json") {
    std::cout << description.dump() << "\n";
  } else {
    PrintTable(description);
  }
  return report.violations.empty() ? 0 : kExitViolation;
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::SetUsageMessage(
      "Checks caller and target histories: bulrush_check FILE...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bulrushshore::Main(argc - 1, argv + 1);
}

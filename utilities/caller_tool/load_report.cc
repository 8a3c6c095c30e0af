#include "utilities/caller_tool/load_report.h"

#include <array>
#include <iomanip>
#include <sstream>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::array<const char*, 4> kOutcomes = {"answered", "not_run",
                                                  "unknown", "refused"};
constexpr std::array<std::pair<const char*, double>, 4> kPercentiles = {{
    {"p50_ms", 50.0},
    {"p90_ms", 90.0},
    {"p99_ms", 99.0},
    {"p999_ms", 99.9},
}};

double Milliseconds(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

nlohmann::json DescribeKind(const std::string& name,
                            const kind_totals& totals) {
  nlohmann::json line = {{"service_kind", name}};
  std::uint64_t requests = 0;
  for (const char* outcome : kOutcomes) {
    const auto found = totals.outcomes.find(outcome);
    const std::uint64_t count =
        found == totals.outcomes.end() ? 0 : found->second;
    line[outcome] = count;
    requests += count;
  }
  line["requests"] = requests;
  line["failures"] = totals.failures;
  line["server_errors"] = totals.server_errors;
  line["attempts"] = totals.attempts;
  for (const std::pair<const char*, double>& entry : kPercentiles) {
    line[entry.first] = Milliseconds(totals.latencies.Percentile(entry.second));
  }
  line["max_ms"] = Milliseconds(totals.latencies.maximum());
  return line;
}

kind_totals SumOf(const load_totals& totals) {
  kind_totals sum;
  for (const load_totals::value_type& entry : totals) {
    AddTotals(entry.second, sum);
  }
  return sum;
}

}  // namespace

nlohmann::json DescribeLoad(const load_totals& totals) {
  nlohmann::json kinds = nlohmann::json::array();
  for (const load_totals::value_type& entry : totals) {
    kinds.push_back(DescribeKind(entry.first, entry.second));
  }
  kinds.push_back(DescribeKind("all", SumOf(totals)));
  return {{"kinds", kinds}};
}

std::string FormatLoadTable(const nlohmann::json& report) {
  constexpr int kNameWidth = 24;
  constexpr int kWidth = 13;
  constexpr std::array<const char*, 11> kColumns = {
      "requests", "answered", "not_run", "unknown", "refused", "server_errors",
      "p50_ms",   "p90_ms",   "p99_ms",  "p999_ms", "max_ms"};
  std::ostringstream table;
  table << std::left << std::setw(kNameWidth) << "service/kind" << std::right;
  for (const char* column : kColumns) {
    table << " " << std::setw(kWidth) << column;
  }
  table << "\n" << std::fixed << std::setprecision(3);
  for (const nlohmann::json& line : report["kinds"]) {
    table << std::left << std::setw(kNameWidth)
          << line["service_kind"].get<std::string>() << std::right;
    for (const char* column : kColumns) {
      table << " " << std::setw(kWidth);
      if (line[column].is_number_float()) {
        table << line[column].get<double>();
      } else {
        table << line[column].get<std::uint64_t>();
      }
    }
    table << "\n";
  }
  return table.str();
}

nlohmann::json DescribeCall(const call_result& result) {
  nlohmann::json description = {{"outcome", CallOutcomeName(result.outcome)},
                                {"reason", result.reason},
                                {"host", result.host},
                                {"key", result.key},
                                {"attempts", result.attempts}};
  if (result.response) {
    description["status"] = result.response->status;
    description["body"] = result.response->body;
  }
  return description;
}

}  // namespace bulrushshore

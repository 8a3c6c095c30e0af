#include "benchmarks/policy_bench/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <optional>
#include <sstream>

namespace bulrushshore {
namespace {

struct column {
  std::string heading;
  int digits = 1;
  std::function<std::optional<double>(const run_result&)> value;
};

std::vector<column> Columns() {
  return {
      {"detect s", 1, [](const run_result& run) { return run.detect_seconds; }},
      {"hosts detecting %", 0,
       [](const run_result& run) { return 100.0 * run.detecting_hosts_share; }},
      {"false ejections/h", 1,
       [](const run_result& run) { return run.false_ejections_per_hour; }},
      {"in time %", 1,
       [](const run_result& run) { return 100.0 * run.in_time_share; }},
      {"others in time %", 1,
       [](const run_result& run) { return 100.0 * run.others_in_time_share; }},
      {"short in time %", 1,
       [](const run_result& run) { return 100.0 * run.short_in_time_share; }},
      {"short wait p50 ms", 0,
       [](const run_result& run) { return run.short_wait_p50; }},
      {"short wait p99 ms", 0,
       [](const run_result& run) { return run.short_wait_p99; }},
      {"slots above floor", 0,
       [](const run_result& run) {
         return static_cast<double>(run.lowest_floor_margin);
       }},
      {"retries %", 1,
       [](const run_result& run) { return 100.0 * run.retry_share; }},
      {"recover s", 0,
       [](const run_result& run) { return run.recover_seconds; }},
      {"full capacity s", 0,
       [](const run_result& run) { return run.full_capacity_seconds; }},
  };
}

std::string FormatNumber(double value, int digits) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.*f", digits, value);
  return std::string(buffer.data());
}

std::string FormatCell(const std::vector<run_result>& runs,
                       const column& shown) {
  double sum = 0.0;
  double lowest = 0.0;
  double highest = 0.0;
  std::size_t count = 0;
  for (const run_result& run : runs) {
    const std::optional<double> value = shown.value(run);
    if (!value) {
      continue;
    }
    lowest = count == 0 ? *value : std::min(lowest, *value);
    highest = count == 0 ? *value : std::max(highest, *value);
    sum += *value;
    ++count;
  }
  if (count == 0) {
    return "-";
  }
  const std::string mean =
      FormatNumber(sum / static_cast<double>(count), shown.digits);
  const std::string low = FormatNumber(lowest, shown.digits);
  const std::string high = FormatNumber(highest, shown.digits);
  return low == high ? mean : mean + " (" + low + ".." + high + ")";
}

}  // namespace

std::string FormatTable(std::string_view title,
                        const std::vector<policy_runs>& policies) {
  const std::vector<column> columns = Columns();
  std::ostringstream out;
  out << "### " << title << "\n\n| policy |";
  for (const column& shown : columns) {
    out << ' ' << shown.heading << " |";
  }
  out << "\n|---|";
  for (std::size_t index = 0; index < columns.size(); ++index) {
    out << "---|";
  }
  out << '\n';
  for (const policy_runs& policy : policies) {
    out << "| " << policy.policy << " |";
    for (const column& shown : columns) {
      out << ' ' << FormatCell(policy.runs, shown) << " |";
    }
    out << '\n';
  }
  out << '\n';
  return out.str();
}

}  // namespace bulrushshore

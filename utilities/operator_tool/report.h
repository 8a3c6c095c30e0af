#ifndef UTILITIES_OPERATOR_TOOL_REPORT_H_
#define UTILITIES_OPERATOR_TOOL_REPORT_H_

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "libraries/catalog/diff.h"
#include "libraries/settings/ini_document.h"
#include "libraries/store/catalog_publisher.h"
#include "libraries/store/note_chain.h"
#include "libraries/telemetry/audit.h"
#include "utilities/operator_tool/host_poller.h"

namespace bulrushshore {

enum class report_format { kTable, kJson };

// Where and how the commands write their results.
struct report_output {
  std::ostream& stream;
  report_format format = report_format::kTable;
  // Only for tables.
  bool is_coloured = false;
};

// JSON forms of the results. Thread safe.
nlohmann::json ToJson(const line_errors& errors);
nlohmann::json ToJson(const std::vector<catalog_change>& changes);
nlohmann::json ToJson(const publish_outcome& outcome);
nlohmann::json ToJson(const std::vector<history_entry>& entries);
nlohmann::json ToJson(const std::vector<host_version>& hosts);
nlohmann::json ToJson(const std::vector<audit_record>& records);

// Writes `document` as indented JSON. Bytes that are not UTF-8 are replaced.
void PrintJson(const report_output& output, const nlohmann::json& document);

// Write tables and lines for people.
void PrintErrors(const report_output& output,
                 const std::string& file,
                 const line_errors& errors,
                 const line_errors& warnings);
void PrintChanges(const report_output& output,
                  const std::vector<catalog_change>& changes);
void PrintOutcome(const report_output& output,
                  const std::string& file,
                  const publish_outcome& outcome);
void PrintHistory(const report_output& output,
                  const std::vector<history_entry>& entries);
void PrintAudit(const report_output& output,
                const std::vector<audit_record>& records);
void PrintHosts(const report_output& output,
                const std::vector<host_version>& hosts);

// Returns a wall-clock time as "YYYY-MM-DD HH:MM:SS" in UTC. Thread safe.
std::string FormatUnixTime(std::int64_t unix_ms);

}  // namespace bulrushshore

#endif  // UTILITIES_OPERATOR_TOOL_REPORT_H_

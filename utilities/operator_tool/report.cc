#include "utilities/operator_tool/report.h"

#include <array>
#include <ctime>

#include "utilities/operator_tool/text_table.h"

namespace bulrushshore {
namespace {

std::string Paint(const report_output& output,
                  std::string_view text,
                  text_colour colour) {
  return output.is_coloured ? Coloured(text, colour) : std::string(text);
}

text_colour ColourOfVerb(std::string_view verb) {
  if (verb == "add") {
    return text_colour::kGreen;
  }
  return verb == "withdraw" ? text_colour::kRed : text_colour::kYellow;
}

text_colour ColourOfResult(publish_result result) {
  switch (result) {
    case publish_result::kAccepted:
      return text_colour::kGreen;
    case publish_result::kNotKnownYet:
      return text_colour::kYellow;
    case publish_result::kRejected:
    case publish_result::kUnavailable:
      return text_colour::kRed;
  }
  return text_colour::kRed;
}

std::string DescribeFields(const change_description& change) {
  std::string text;
  for (const field_change& field : change.fields) {
    text += text.empty() ? "" : ", ";
    text += field.name + " ";
    if (change.verb == "change") {
      text += field.before + " -> ";
    }
    text += change.verb == "withdraw" ? field.before : field.after;
  }
  return text;
}

void PrintLines(const report_output& output,
                const std::string& file,
                const line_errors& errors,
                std::string_view label,
                text_colour colour) {
  for (const line_error& item : errors) {
    output.stream << Printable(file) << ":" << item.line << ": "
                  << Paint(output, label, colour) << ": "
                  << Printable(item.message) << "\n";
  }
}

}  // namespace

nlohmann::json ToJson(const line_errors& errors) {
  nlohmann::json list = nlohmann::json::array();
  for (const line_error& item : errors) {
    list.push_back({{"line", item.line}, {"message", item.message}});
  }
  return list;
}

nlohmann::json ToJson(const std::vector<catalog_change>& changes) {
  nlohmann::json list = nlohmann::json::array();
  for (const catalog_change& change : changes) {
    const change_description description = DescribeChange(change);
    nlohmann::json fields = nlohmann::json::object();
    for (const field_change& field : description.fields) {
      fields[field.name] = {{"before", field.before}, {"after", field.after}};
    }
    list.push_back({{"change", description.verb},
                    {"type", description.object_type},
                    {"key", description.key},
                    {"fields", std::move(fields)}});
  }
  return list;
}

nlohmann::json ToJson(const publish_outcome& outcome) {
  nlohmann::json document = {{"result", PublishResultName(outcome.result)},
                             {"note_id", outcome.note_id},
                             {"errors", ToJson(outcome.errors)},
                             {"warnings", ToJson(outcome.warnings)}};
  if (outcome.result == publish_result::kAccepted) {
    document["version"] = outcome.version;
    document["was_published_before"] = outcome.was_published_before;
  } else {
    document["message"] = outcome.message;
  }
  if (outcome.is_conflict) {
    document["newest_version"] = outcome.newest_version;
    document["changes_since_base"] = ToJson(outcome.changes_since_base);
  }
  return document;
}

nlohmann::json ToJson(const std::vector<history_entry>& entries) {
  nlohmann::json list = nlohmann::json::array();
  for (const history_entry& entry : entries) {
    list.push_back({{"version", entry.version},
                    {"note_id", entry.note_id},
                    {"author", entry.author},
                    {"published_unix_ms", entry.published_unix_ms}});
  }
  return list;
}

nlohmann::json ToJson(const std::vector<host_version>& hosts) {
  nlohmann::json list = nlohmann::json::array();
  for (const host_version& host : hosts) {
    nlohmann::json item = {
        {"admin_address", FormatEndpoint(host.admin_address)},
        {"catalog_version", nullptr}};
    if (host.catalog_version.has_value()) {
      item["catalog_version"] = *host.catalog_version;
    }
    if (!host.fault.empty()) {
      item["fault"] = host.fault;
    }
    list.push_back(std::move(item));
  }
  return list;
}

nlohmann::json ToJson(const std::vector<audit_record>& records) {
  nlohmann::json list = nlohmann::json::array();
  for (const audit_record& record : records) {
    list.push_back({{"unix_time_ms", record.unix_time_ms},
                    {"actor", record.actor},
                    {"action", record.action},
                    {"subject", record.subject},
                    {"detail", record.detail},
                    {"catalog_version", record.catalog_version}});
  }
  return list;
}

void PrintJson(const report_output& output, const nlohmann::json& document) {
  constexpr int kIndent = 2;
  output.stream << document.dump(kIndent, ' ', false,
                                 nlohmann::json::error_handler_t::replace)
                << "\n";
}

void PrintErrors(const report_output& output,
                 const std::string& file,
                 const line_errors& errors,
                 const line_errors& warnings) {
  PrintLines(output, file, errors, "error", text_colour::kRed);
  PrintLines(output, file, warnings, "warning", text_colour::kYellow);
}

void PrintChanges(const report_output& output,
                  const std::vector<catalog_change>& changes) {
  if (changes.empty()) {
    output.stream << "no differences\n";
    return;
  }
  text_table table({"CHANGE", "TYPE", "KEY", "VALUES"});
  for (const catalog_change& change : changes) {
    const change_description description = DescribeChange(change);
    table.AddRow({description.verb, description.object_type, description.key,
                  DescribeFields(description)},
                 ColourOfVerb(description.verb));
  }
  table.Print(output.stream, output.is_coloured);
}

void PrintOutcome(const report_output& output,
                  const std::string& file,
                  const publish_outcome& outcome) {
  PrintErrors(output, file, outcome.errors, outcome.warnings);
  output.stream << Paint(output, PublishResultName(outcome.result),
                         ColourOfResult(outcome.result))
                << ": ";
  if (outcome.result == publish_result::kAccepted) {
    output.stream << "note " << outcome.note_id << " is version "
                  << outcome.version
                  << (outcome.was_published_before ? " (published before)" : "")
                  << "\n";
    return;
  }
  output.stream << Printable(outcome.message) << "\n";
  if (outcome.result == publish_result::kNotKnownYet) {
    output.stream << "To settle it, publish the same note again: bulrushctl "
                     "publish "
                  << Printable(file) << "\n";
  }
  if (outcome.is_conflict) {
    output.stream << "Changes since base_version:\n";
    PrintChanges(output, outcome.changes_since_base);
  }
}

void PrintHistory(const report_output& output,
                  const std::vector<history_entry>& entries) {
  text_table table({"VERSION", "PUBLISHED (UTC)", "AUTHOR", "NOTE"});
  for (const history_entry& entry : entries) {
    table.AddRow({std::to_string(entry.version),
                  FormatUnixTime(entry.published_unix_ms), entry.author,
                  entry.note_id});
  }
  table.Print(output.stream, output.is_coloured);
}

void PrintAudit(const report_output& output,
                const std::vector<audit_record>& records) {
  text_table table({"TIME (UTC)", "ACTOR", "ACTION", "SUBJECT", "DETAIL"});
  for (const audit_record& record : records) {
    table.AddRow({FormatUnixTime(record.unix_time_ms), record.actor,
                  record.action, record.subject, record.detail});
  }
  table.Print(output.stream, output.is_coloured);
}

void PrintHosts(const report_output& output,
                const std::vector<host_version>& hosts) {
  text_table table({"HOST", "VERSION", "FAULT"});
  for (const host_version& host : hosts) {
    const std::string version = host.catalog_version.has_value()
                                    ? std::to_string(*host.catalog_version)
                                    : "-";
    table.AddRow({FormatEndpoint(host.admin_address), version, host.fault});
  }
  table.Print(output.stream, output.is_coloured);
}

std::string FormatUnixTime(std::int64_t unix_ms) {
  constexpr std::int64_t kMsPerSecond = 1000;
  const std::time_t seconds = unix_ms / kMsPerSecond;
  std::tm parts{};
  if (gmtime_r(&seconds, &parts) == nullptr) {
    return std::to_string(unix_ms);
  }
  std::array<char, 32> buffer{};
  const std::size_t length =
      std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M:%S", &parts);
  return std::string(buffer.data(), length);
}

}  // namespace bulrushshore

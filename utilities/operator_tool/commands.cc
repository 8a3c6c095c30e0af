#include "utilities/operator_tool/commands.h"

#include <algorithm>
#include <map>
#include <utility>

#include "libraries/catalog/apply.h"
#include "libraries/catalog/limits.h"
#include "libraries/settings/settings_reader.h"
#include "libraries/store/audit_archive.h"
#include "libraries/store/catalog_publisher.h"
#include "libraries/store/catalog_reader.h"
#include "libraries/telemetry/audit.h"
#include "utilities/operator_tool/text_table.h"

namespace bulrushshore {
namespace {

int Fail(const command_context& context,
         const error& cause,
         int exit_code = kExitUnavailable) {
  context.error_stream << "bulrushctl: " << ErrorCodeName(cause.code) << ": "
                       << Printable(cause.message) << "\n";
  return exit_code;
}

int FailWithoutStore(const command_context& context) {
  return Fail(context,
              {error_code::kInvalidArgument, "--store=IP:PORT is required"},
              kExitUsage);
}

// A note and the newest catalog that it was checked against.
struct checked_note {
  catalog_contents before;
  std::variant<applied_note, line_errors> applied;
};

result<checked_note> CheckNote(object_store& store, const std::string& text) {
  catalog_reader reader(store);
  const result<std::shared_ptr<const catalog_snapshot>> snapshot =
      reader.Refresh();
  if (!IsOk(snapshot)) {
    return ErrorOf(snapshot);
  }
  const catalog_snapshot& newest = *ValueOf(snapshot);
  return checked_note{newest.contents,
                      ParseAndApplyNote(newest.contents, text)};
}

int ReportFindings(const command_context& context,
                   const std::string& file,
                   const line_errors& errors,
                   const line_errors& warnings) {
  const bool is_valid = errors.empty();
  if (context.output.format == report_format::kJson) {
    PrintJson(context.output, {{"valid", is_valid},
                               {"errors", ToJson(errors)},
                               {"warnings", ToJson(warnings)}});
  } else {
    PrintErrors(context.output, file, errors, warnings);
    context.output.stream << (is_valid ? "valid\n" : "invalid\n");
  }
  return is_valid ? kExitSuccess : kExitRejected;
}

int ExitCodeOf(const publish_outcome& outcome) {
  switch (outcome.result) {
    case publish_result::kAccepted:
      return kExitSuccess;
    case publish_result::kRejected:
      return kExitRejected;
    case publish_result::kNotKnownYet:
      return kExitNotKnownYet;
    case publish_result::kUnavailable:
      return kExitUnavailable;
  }
  return kExitUnavailable;
}

// Returns the hosts that have not reported `version`.
std::vector<host_version> HostsBehind(std::vector<host_version> hosts,
                                      std::uint64_t version) {
  std::vector<host_version> behind;
  std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(behind),
               [version](const host_version& host) {
                 return host.catalog_version.value_or(0) < version;
               });
  return behind;
}

void ReportPublish(const command_context& context,
                   const std::string& file,
                   const publish_outcome& outcome,
                   const std::vector<host_version>& behind,
                   bool has_waited) {
  if (context.output.format == report_format::kJson) {
    nlohmann::json document = ToJson(outcome);
    if (has_waited) {
      document["hosts_behind"] = ToJson(behind);
    }
    PrintJson(context.output, document);
    return;
  }
  PrintOutcome(context.output, file, outcome);
  if (!has_waited) {
    return;
  }
  if (behind.empty()) {
    context.output.stream << "all hosts have the version\n";
    return;
  }
  context.output.stream << "hosts that have not reported the version:\n";
  PrintHosts(context.output, behind);
}

nlohmann::json CapacityToJson(const service_capacity& capacity) {
  return {{"registered_slots", capacity.registered_slots},
          {"active_slots", capacity.active_slots},
          {"floor_slots", capacity.floor_slots}};
}

void PrintStatusJson(const command_context& context,
                     const catalog_snapshot& snapshot,
                     const std::vector<host_version>& hosts) {
  nlohmann::json services = nlohmann::json::object();
  for (const std::pair<const std::string, service_capacity>& entry :
       ComputeCapacities(snapshot.contents)) {
    services[entry.first] = CapacityToJson(entry.second);
  }
  PrintJson(context.output,
            {{"version", snapshot.version},
             {"note_id", snapshot.note_id},
             {"services", snapshot.contents.services.size()},
             {"targets", snapshot.contents.targets.size()},
             {"routes", snapshot.contents.routes.size()},
             {"organisations", snapshot.contents.organisations.size()},
             {"capacity", std::move(services)},
             {"hosts", ToJson(hosts)}});
}

void PrintStatusTable(const command_context& context,
                      const catalog_snapshot& snapshot,
                      const std::vector<host_version>& hosts) {
  const catalog_contents& contents = snapshot.contents;
  std::ostream& stream = context.output.stream;
  stream << "version " << snapshot.version << ", note "
         << (snapshot.note_id.empty() ? "-" : snapshot.note_id) << ": "
         << contents.services.size() << " services, " << contents.targets.size()
         << " targets, " << contents.routes.size() << " routes, "
         << contents.organisations.size() << " organisations\n";
  text_table table({"SERVICE", "ACTIVE SLOTS", "REGISTERED", "FLOOR"});
  for (const std::pair<const std::string, service_capacity>& entry :
       ComputeCapacities(contents)) {
    const service_capacity& capacity = entry.second;
    const bool is_below = capacity.active_slots < capacity.floor_slots;
    table.AddRow({entry.first, std::to_string(capacity.active_slots),
                  std::to_string(capacity.registered_slots),
                  std::to_string(capacity.floor_slots)},
                 is_below ? text_colour::kRed : text_colour::kNone);
  }
  table.Print(stream, context.output.is_coloured);
  if (!hosts.empty()) {
    PrintHosts(context.output, hosts);
  }
}

// Reads the newest entries of a list in the store and prints them.
template <typename Entry>
int ShowEntries(const command_context& context,
                std::size_t limit,
                result<std::vector<Entry>> (*read)(object_store&, std::size_t),
                void (*print)(const report_output&,
                              const std::vector<Entry>&)) {
  if (context.store == nullptr) {
    return FailWithoutStore(context);
  }
  const result<std::vector<Entry>> entries = read(*context.store, limit);
  if (!IsOk(entries)) {
    return Fail(context, ErrorOf(entries));
  }
  if (context.output.format == report_format::kJson) {
    PrintJson(context.output, ToJson(ValueOf(entries)));
  } else {
    print(context.output, ValueOf(entries));
  }
  return kExitSuccess;
}

}  // namespace

int ValidateNote(const command_context& context, const std::string& file) {
  const result<std::string> text = ReadTextFile(file, kMaxNoteBytes);
  if (!IsOk(text)) {
    return Fail(context, ErrorOf(text), kExitUsage);
  }
  if (context.store == nullptr) {
    return ReportFindings(context, file, ParseReleaseNote(ValueOf(text)).errors,
                          {});
  }
  const result<checked_note> checked = CheckNote(*context.store, ValueOf(text));
  if (!IsOk(checked)) {
    return Fail(context, ErrorOf(checked));
  }
  const std::variant<applied_note, line_errors>& applied =
      ValueOf(checked).applied;
  if (const line_errors* const errors = std::get_if<line_errors>(&applied)) {
    return ReportFindings(context, file, *errors, {});
  }
  return ReportFindings(context, file, {},
                        std::get_if<applied_note>(&applied)->warnings);
}

int DiffNote(const command_context& context, const std::string& file) {
  if (context.store == nullptr) {
    return FailWithoutStore(context);
  }
  const result<std::string> text = ReadTextFile(file, kMaxNoteBytes);
  if (!IsOk(text)) {
    return Fail(context, ErrorOf(text), kExitUsage);
  }
  const result<checked_note> checked = CheckNote(*context.store, ValueOf(text));
  if (!IsOk(checked)) {
    return Fail(context, ErrorOf(checked));
  }
  const std::variant<applied_note, line_errors>& applied =
      ValueOf(checked).applied;
  if (const line_errors* const errors = std::get_if<line_errors>(&applied)) {
    return ReportFindings(context, file, *errors, {});
  }
  const std::vector<catalog_change> changes = DiffCatalogs(
      ValueOf(checked).before, std::get_if<applied_note>(&applied)->contents);
  if (context.output.format == report_format::kJson) {
    PrintJson(context.output, ToJson(changes));
  } else {
    PrintChanges(context.output, changes);
  }
  return kExitSuccess;
}

int PublishNote(const command_context& context,
                const std::string& file,
                bool wait,
                const host_options& hosts) {
  if (context.store == nullptr) {
    return FailWithoutStore(context);
  }
  const result<std::string> text = ReadTextFile(file, kMaxNoteBytes);
  if (!IsOk(text)) {
    return Fail(context, ErrorOf(text), kExitUsage);
  }
  catalog_publisher publisher(*context.store);
  const publish_outcome outcome =
      publisher.Publish(ValueOf(text), CurrentUnixTimeMs());
  const bool must_wait = wait && outcome.result == publish_result::kAccepted;
  std::vector<host_version> behind;
  if (must_wait) {
    behind = HostsBehind(
        PollHosts({hosts.admin_addresses, outcome.version, hosts.timeout},
                  context.time_source),
        outcome.version);
  }
  ReportPublish(context, file, outcome, behind, must_wait);
  return behind.empty() ? ExitCodeOf(outcome) : kExitHostsBehind;
}

int ShowStatus(const command_context& context, const host_options& hosts) {
  if (context.store == nullptr) {
    return FailWithoutStore(context);
  }
  catalog_reader reader(*context.store);
  const result<std::shared_ptr<const catalog_snapshot>> snapshot =
      reader.Refresh();
  if (!IsOk(snapshot)) {
    return Fail(context, ErrorOf(snapshot));
  }
  constexpr std::uint64_t kAskOnce = 0;
  const std::vector<host_version> answers = PollHosts(
      {hosts.admin_addresses, kAskOnce, hosts.timeout}, context.time_source);
  if (context.output.format == report_format::kJson) {
    PrintStatusJson(context, *ValueOf(snapshot), answers);
  } else {
    PrintStatusTable(context, *ValueOf(snapshot), answers);
  }
  return kExitSuccess;
}

int ShowHistory(const command_context& context, std::size_t limit) {
  return ShowEntries(context, limit, ReadHistory, PrintHistory);
}

int ShowAudit(const command_context& context, std::size_t limit) {
  return ShowEntries(context, limit, ReadAuditRecords, PrintAudit);
}

}  // namespace bulrushshore

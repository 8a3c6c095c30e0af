#ifndef UTILITIES_OPERATOR_TOOL_COMMANDS_H_
#define UTILITIES_OPERATOR_TOOL_COMMANDS_H_

#include <chrono>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/store/object_store.h"
#include "utilities/operator_tool/report.h"

namespace bulrushshore {

// Exit codes of bulrushctl.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitUsage = 2;
// The note has faults or conflicts with another one.
inline constexpr int kExitRejected = 3;
// The store did not tell whether the note was accepted.
inline constexpr int kExitNotKnownYet = 4;
// The store cannot be used, or holds invalid data.
inline constexpr int kExitUnavailable = 5;
// The note was accepted, but hosts have not reported it in time.
inline constexpr int kExitHostsBehind = 6;

// What the commands work with.
struct command_context {
  // Null if no store was named.
  object_store* store = nullptr;
  const clock& time_source;
  report_output output;
  // For messages that are not results.
  std::ostream& error_stream;
};

// Options of the commands that ask hosts.
struct host_options {
  std::vector<endpoint> admin_addresses;
  std::chrono::milliseconds timeout{5000};
};

// Each command returns its exit code. The file is that of a release note.

// Checks a note, against the newest catalog if there is a store.
int ValidateNote(const command_context& context, const std::string& file);

// Shows what a note would change.
int DiffNote(const command_context& context, const std::string& file);

// Publishes a note and, if `wait`, waits until the hosts have it.
int PublishNote(const command_context& context,
                const std::string& file,
                bool wait,
                const host_options& hosts);

// Shows the newest catalog and, if there are any addresses, what hosts have.
int ShowStatus(const command_context& context, const host_options& hosts);

// Lists the newest accepted notes.
int ShowHistory(const command_context& context, std::size_t limit);

// Lists the newest audit records that hosts have written to the store.
int ShowAudit(const command_context& context, std::size_t limit);

}  // namespace bulrushshore

#endif  // UTILITIES_OPERATOR_TOOL_COMMANDS_H_

#include <unistd.h>

#include <cstdint>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <gflags/gflags.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "libraries/base/clock.h"
#include "libraries/store/http_object_store.h"
#include "utilities/operator_tool/commands.h"

DEFINE_string(store, "", "address of the object store, IP:PORT");
DEFINE_string(output, "table", "form of the results: table or json");
DEFINE_bool(wait, false, "publish: wait until the hosts have the version");
DEFINE_string(hosts,
              "",
              "publish --wait and status: admin addresses of the hosts, "
              "IP:PORT,...");
DEFINE_int32(timeout_ms, 5000, "longest time to wait for the hosts");
DEFINE_int32(store_timeout_ms, 2000, "longest time of one call to the store");
DEFINE_int32(limit, 20, "history and audit: number of entries");

namespace bulrushshore {
namespace {

constexpr char kUsage[] =
    "configures a bulrushshore fleet\n\n"
    "  bulrushctl validate NOTE.ini [--store=IP:PORT]\n"
    "  bulrushctl diff NOTE.ini --store=IP:PORT\n"
    "  bulrushctl publish NOTE.ini --store=IP:PORT\n"
    "             [--wait --hosts=IP:PORT,... [--timeout_ms=N]]\n"
    "  bulrushctl status --store=IP:PORT [--hosts=IP:PORT,...]\n"
    "  bulrushctl history --store=IP:PORT [--limit=N]\n"
    "  bulrushctl audit --store=IP:PORT [--limit=N]\n\n"
    "Other flags: --output=table|json, --store_timeout_ms=N, --version,\n"
    "--helpfull for all flags.\n"
    "Exit codes: 0 success, 1 unknown flag, 2 wrong usage or unreadable file, "
    "3 the note was\n"
    "rejected, 4 not known yet whether the note was accepted (publish it\n"
    "again), 5 the store cannot be used, 6 accepted but not yet reported by\n"
    "all hosts.";

int FailUsage(const std::string& message) {
  std::cerr << "bulrushctl: " << message << "\nTry bulrushctl --help.\n";
  return kExitUsage;
}

std::optional<std::vector<endpoint>> ParseHosts(std::string_view text) {
  std::vector<endpoint> addresses;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const result<endpoint> address = ParseEndpoint(text.substr(0, comma));
    if (!IsOk(address)) {
      return std::nullopt;
    }
    addresses.push_back(ValueOf(address));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return addresses;
}

int RunCommand(const command_context& context,
               const std::vector<std::string>& arguments,
               const host_options& hosts) {
  const std::string& command = arguments.front();
  const bool has_file = arguments.size() == 2;
  const bool is_alone = arguments.size() == 1;
  if (command == "validate" && has_file) {
    return ValidateNote(context, arguments[1]);
  }
  if (command == "diff" && has_file) {
    return DiffNote(context, arguments[1]);
  }
  if (command == "publish" && has_file) {
    return PublishNote(context, arguments[1], FLAGS_wait, hosts);
  }
  if (command == "status" && is_alone) {
    return ShowStatus(context, hosts);
  }
  if (command == "history" && is_alone) {
    return ShowHistory(context, static_cast<std::size_t>(FLAGS_limit));
  }
  if (command == "audit" && is_alone) {
    return ShowAudit(context, static_cast<std::size_t>(FLAGS_limit));
  }
  return FailUsage("unknown command or wrong arguments");
}

int Run(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    return FailUsage("no command");
  }
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    return FailUsage("--output is table or json");
  }
  if (FLAGS_timeout_ms < 1 || FLAGS_store_timeout_ms < 1 || FLAGS_limit < 1) {
    return FailUsage(
        "--timeout_ms, --store_timeout_ms and --limit are above 0");
  }
  const std::optional<std::vector<endpoint>> addresses =
      ParseHosts(FLAGS_hosts);
  if (!addresses.has_value() || (FLAGS_wait && addresses->empty())) {
    return FailUsage("--hosts=IP:PORT,... is missing or invalid");
  }
  caf::actor_system_config config;
  caf::actor_system system(config);
  const runtime_clock time_source(system.clock());
  std::unique_ptr<object_store> store;
  if (!FLAGS_store.empty()) {
    const result<endpoint> address = ParseEndpoint(FLAGS_store);
    if (!IsOk(address)) {
      return FailUsage("--store: " + ErrorOf(address).message);
    }
    const http_store_options options{
        ValueOf(address), std::chrono::milliseconds(FLAGS_store_timeout_ms)};
    store = std::make_unique<http_object_store>(options, time_source);
  }
  const bool is_json = FLAGS_output == "json";
  const command_context context{
      store.get(),
      time_source,
      {std::cout, is_json ? report_format::kJson : report_format::kTable,
       isatty(STDOUT_FILENO) == 1},
      std::cerr};
  return RunCommand(context, arguments,
                    {*addresses, std::chrono::milliseconds(FLAGS_timeout_ms)});
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::SetUsageMessage(bulrushshore::kUsage);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  // Left to itself, gflags ends --help with exit code 1.
  if (gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true") {
    std::cout << gflags::ProgramUsage() << "\n";
    return bulrushshore::kExitSuccess;
  }
  gflags::HandleCommandLineHelpFlags();
  return bulrushshore::Run({argv + 1, argv + argc});
}

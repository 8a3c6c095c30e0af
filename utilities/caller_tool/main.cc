// bulrush_call: sends one request, or load at a fixed arrival rate.
//
// Exit codes: 0 every request was answered, 1 at least one was not, 2 wrong
// usage, 3 the history file cannot be opened.

#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "libraries/base/clock.h"
#include "libraries/base/program_runtime.h"
#include "libraries/base/random_source.h"
#include "libraries/caller/caller.h"
#include "libraries/caller/discovery_cache.h"
#include "libraries/caller/http_transport.h"
#include "utilities/caller_tool/history_recorder.h"
#include "utilities/caller_tool/load_report.h"
#include "utilities/caller_tool/load_run.h"
#include "utilities/caller_tool/work_mix.h"

DEFINE_string(hosts, "", "entry hosts for discovery as IP:PORT,...");
DEFINE_string(direct,
              "",
              "send to these addresses (IP:PORT,...) without discovery");
DEFINE_string(zone, "", "availability zone of this caller");
DEFINE_string(service, "", "service of a single request");
DEFINE_string(path, "/", "path of a single request");
DEFINE_string(kind, "single", "work kind of a single request");
DEFINE_string(repeat,
              "idempotent",
              "when a single request may be repeated: idempotent, keyed, once");
DEFINE_string(key, "", "key of an earlier call for the same work");
DEFINE_string(body,
              "",
              "body of a single request that is not idempotent; equal bodies "
              "make the same work");
DEFINE_string(header, "", "further header of a single request as NAME:VALUE");
DEFINE_string(organisation, "", "organisation of a single request");
DEFINE_double(rate, 0.0, "arrivals per second; 0 sends a single request");
DEFINE_double(seconds, 10.0, "length of a load run");
DEFINE_string(mix, "", "load as SERVICE:KIND:PATH:WEIGHT:REPEAT[:WORK_MS],...");
DEFINE_bool(poisson, false, "exponential gaps between arrivals");
DEFINE_uint64(organisations, 1, "number of organisations in a load run");
DEFINE_uint64(concurrency, 64, "calls under way at the same time");
DEFINE_uint64(spread, 1, "number of best hosts to spread requests over");
DEFINE_uint64(max_attempts, 4, "attempts per call that reach a host");
DEFINE_int32(timeout_ms, 5000, "time for a call with all its attempts");
DEFINE_int32(connect_timeout_ms, 500, "time for opening a connection");
DEFINE_uint64(seed, 0, "seed of a load run; 0 draws one");
DEFINE_string(history, "", "file for one JSON line per event of a call");
DEFINE_string(output, "table", "table or json");

namespace bulrushshore {
namespace {

constexpr int kExitNotAnswered = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNoHistory = 3;

struct tool_environment {
  caller& client;
  history_recorder& recorder;
  retry_timer& timer;
  const clock& time;
  random_source& random;
  std::string run_id;
};

result<std::vector<endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<endpoint> addresses;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    const result<endpoint> address =
        ParseEndpoint(text.substr(begin, end - begin));
    if (!IsOk(address)) {
      return ErrorOf(address);
    }
    addresses.push_back(ValueOf(address));
    begin = end + 1;
  }
  if (addresses.empty()) {
    return error{error_code::kInvalidArgument, "give --hosts or --direct"};
  }
  return addresses;
}

// A target asks for no key in the format of a host; any prefix will do.
host_list ListOfTargets(const std::vector<endpoint>& addresses,
                        const clock& time) {
  host_list list;
  list.fetched_at = time.Now();
  for (const endpoint& address : addresses) {
    list.hosts.push_back({"direct", address, "", "bk1.direct.0.0"});
  }
  return list;
}

std::unique_ptr<host_resolver> MakeResolver(
    const std::vector<endpoint>& addresses,
    caller_transport& transport,
    const clock& time) {
  if (!FLAGS_direct.empty()) {
    return std::make_unique<fixed_host_resolver>(
        ListOfTargets(addresses, time));
  }
  return std::make_unique<discovery_cache>(addresses, FLAGS_zone, transport,
                                           time);
}

caller_options OptionsFromFlags() {
  caller_options options;
  options.max_attempts = static_cast<std::uint32_t>(FLAGS_max_attempts);
  options.spread = static_cast<std::uint32_t>(FLAGS_spread);
  if (!FLAGS_direct.empty()) {
    options.max_key_prefix_age = std::chrono::hours(24);
  }
  return options;
}

// Applies --key, --body, --header, --organisation and --timeout_ms. Returns
// false if --header has no name or no value.
bool ApplyFlags(call_request& request) {
  request.key = FLAGS_key;
  request.organisation = FLAGS_organisation;
  request.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  if (!FLAGS_body.empty()) {
    request.http.body = FLAGS_body;
  }
  if (FLAGS_header.empty()) {
    return true;
  }
  const std::size_t colon = FLAGS_header.find(':');
  if (colon == std::string::npos || colon == 0 ||
      colon + 1 == FLAGS_header.size()) {
    return false;
  }
  request.http.headers.emplace_back(FLAGS_header.substr(0, colon),
                                    FLAGS_header.substr(colon + 1));
  return true;
}

int SendOne(tool_environment& environment) {
  const result<std::vector<work_kind>> kinds =
      ParseWorkMix(FLAGS_service + ":" + FLAGS_kind + ":" + FLAGS_path +
                   ":1:" + FLAGS_repeat);
  if (!IsOk(kinds)) {
    std::cerr << ErrorOf(kinds).message << "\n";
    return kExitUsage;
  }
  call_request request =
      BuildCallRequest(ValueOf(kinds).front(), environment.run_id);
  if (!ApplyFlags(request)) {
    std::cerr << "expected --header=NAME:VALUE\n";
    return kExitUsage;
  }
  environment.recorder.RecordInvocation(request);
  const call_result outcome =
      environment.client.Call(request, &environment.recorder);
  environment.recorder.RecordCompletion(request, outcome);
  const nlohmann::json description = DescribeCall(outcome);
  if (FLAGS_output == "json") {
    std::cout << description.dump() << "\n";
  } else {
    for (auto field = description.begin(); field != description.end();
         ++field) {
      std::cout << field.key() << ": " << field.value().dump() << "\n";
    }
  }
  return outcome.outcome == call_outcome::kAnswered ? 0 : kExitNotAnswered;
}

int SendLoad(tool_environment& environment) {
  const result<std::vector<work_kind>> kinds = ParseWorkMix(FLAGS_mix);
  if (!IsOk(kinds)) {
    std::cerr << ErrorOf(kinds).message << "\n";
    return kExitUsage;
  }
  arrival_plan plan;
  plan.requests_per_second = FLAGS_rate;
  plan.length = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(FLAGS_seconds));
  plan.is_poisson = FLAGS_poisson;
  plan.organisations = FLAGS_organisations;
  const std::vector<planned_request> requests =
      PlanArrivals(plan, ValueOf(kinds), environment.random);
  load_run_options options;
  options.concurrency = FLAGS_concurrency;
  options.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  options.run_id = environment.run_id;
  const load_totals totals =
      RunLoad(options, requests, environment.client, environment.recorder,
              environment.timer, environment.time);
  const nlohmann::json report = DescribeLoad(totals);
  std::cout << (FLAGS_output == "json" ? report.dump() + "\n"
                                       : FormatLoadTable(report));
  const nlohmann::json& all = report["kinds"].back();
  return all["answered"] == all["requests"] ? 0 : kExitNotAnswered;
}

int Run(const std::vector<endpoint>& addresses,
        std::unique_ptr<json_line_file> history) {
  const program_runtime runtime;
  const clock& time = runtime.time();
  http_transport transport(time,
                           std::chrono::milliseconds(FLAGS_connect_timeout_ms));
  sleeping_retry_timer timer;
  const std::unique_ptr<host_resolver> resolver =
      MakeResolver(addresses, transport, time);
  seeded_random unique = seeded_random::FromSystemEntropy();
  const std::string run_id = FormatHex(unique.Next());
  caller client(OptionsFromFlags(), *resolver, transport, timer, time, unique);
  history_recorder recorder(std::move(history));
  seeded_random seeded(FLAGS_seed == 0 ? unique.Next() : FLAGS_seed);
  tool_environment environment{client, recorder, timer, time, seeded, run_id};
  return FLAGS_rate > 0.0 ? SendLoad(environment) : SendOne(environment);
}

int Main() {
  const result<std::vector<endpoint>> addresses =
      ParseEndpoints(FLAGS_direct.empty() ? FLAGS_hosts : FLAGS_direct);
  if (!IsOk(addresses)) {
    std::cerr << ErrorOf(addresses).message << "\n";
    return kExitUsage;
  }
  if (FLAGS_organisations == 0 || FLAGS_concurrency == 0 ||
      (FLAGS_output != "table" && FLAGS_output != "json")) {
    std::cerr << "wrong value of --organisations, --concurrency or --output\n";
    return kExitUsage;
  }
  result<std::unique_ptr<json_line_file>> history =
      json_line_file::OpenIfNamed(FLAGS_history);
  if (!IsOk(history)) {
    std::cerr << ErrorOf(history).message << "\n";
    return kExitNoHistory;
  }
  return Run(ValueOf(addresses), TakeValue(std::move(history)));
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::SetUsageMessage("Sends one request, or load at a fixed rate.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bulrushshore::Main();
}

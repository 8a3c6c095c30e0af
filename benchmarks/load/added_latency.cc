// added_latency: measures the latency that a host adds to a request.
//
// Sends the same requests at a steady rate straight to a target and through a
// host, in short alternating rounds, so that a disturbance of the machine
// meets both alike. Prints "NAME VALUE UNIT" lines.
//
// Exit codes: 0 measured, 1 a request was not answered, 2 wrong usage.

#include <iomanip>
#include <iostream>
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
#include "utilities/caller_tool/load_run.h"
#include "utilities/caller_tool/work_mix.h"

DEFINE_string(target, "", "address of the target, IP:PORT");
DEFINE_string(host, "", "caller address of the host, IP:PORT");
DEFINE_string(mix,
              "archive:lookup:/archive/1:1:idempotent:1",
              "requests as SERVICE:KIND:PATH:WEIGHT:REPEAT[:WORK_MS],...");
DEFINE_double(rate, 120.0, "requests per second");
DEFINE_double(round_seconds, 2.0, "length of a round");
DEFINE_int32(rounds, 5, "rounds per path after one round of warm-up");
DEFINE_uint64(concurrency, 64, "calls under way at the same time");
DEFINE_uint64(seed, 1, "seed of the sequence of requests");

namespace bulrushshore {
namespace {

constexpr int kExitNotAnswered = 1;
constexpr int kExitUsage = 2;

// Measures one of the two paths.
class measured_path {
 public:
  measured_path(host_resolver& resolver,
                caller_transport& transport,
                const clock& time,
                random_source& random)
      : clock_(time),
        client_(caller_options{}, resolver, transport, timer_, time, random) {}

  // Sends `requests` and, unless it is a warm-up, keeps their latencies.
  // Returns whether all were answered.
  bool RunRound(const std::vector<planned_request>& requests,
                const std::string& run_id,
                bool is_warm_up) {
    load_run_options options;
    options.concurrency = FLAGS_concurrency;
    options.run_id = run_id;
    const load_totals totals =
        RunLoad(options, requests, client_, recorder_, timer_, clock_);
    std::uint64_t answered = 0;
    for (const load_totals::value_type& entry : totals) {
      answered += entry.second.latencies.count();
      answered -= entry.second.server_errors;
      if (!is_warm_up) {
        latencies_.Merge(entry.second.latencies);
      }
    }
    return answered == requests.size();
  }

  double PercentileMs(double percent) const {
    return std::chrono::duration<double, std::milli>(
               latencies_.Percentile(percent))
        .count();
  }

  std::uint64_t count() const { return latencies_.count(); }

 private:
  const clock& clock_;
  sleeping_retry_timer timer_;
  caller client_;
  history_recorder recorder_{nullptr};
  latency_histogram latencies_;
};

void PrintLine(const std::string& name, double value, const char* unit) {
  std::cout << name << " " << std::fixed << std::setprecision(3) << value << " "
            << unit << "\n";
}

void PrintResults(const measured_path& direct, const measured_path& host) {
  PrintLine("requests_per_path", static_cast<double>(host.count()), "requests");
  for (const std::pair<const char*, double>& entry :
       {std::pair("p50", 50.0), std::pair("p99", 99.0)}) {
    const std::string name = entry.first;
    const double direct_ms = direct.PercentileMs(entry.second);
    const double host_ms = host.PercentileMs(entry.second);
    PrintLine("latency_direct_" + name, direct_ms, "ms");
    PrintLine("latency_through_host_" + name, host_ms, "ms");
    PrintLine("latency_added_" + name, host_ms - direct_ms, "ms");
  }
}

host_list ListOf(const endpoint& target, const clock& time) {
  host_list list;
  list.fetched_at = time.Now();
  list.hosts.push_back({"direct", target, "", "bk1.direct.0.0"});
  return list;
}

int Measure(const endpoint& target,
            const endpoint& host,
            const std::vector<work_kind>& kinds) {
  const program_runtime runtime;
  const clock& time = runtime.time();
  http_transport transport(time, std::chrono::milliseconds(500));
  fixed_host_resolver direct_resolver(ListOf(target, time));
  discovery_cache host_resolver({host}, "", transport, time);
  seeded_random unique = seeded_random::FromSystemEntropy();
  measured_path direct(direct_resolver, transport, time, unique);
  measured_path through_host(host_resolver, transport, time, unique);
  seeded_random random(FLAGS_seed);
  arrival_plan plan;
  plan.requests_per_second = FLAGS_rate;
  plan.length = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(FLAGS_round_seconds));
  for (int round = 0; round <= FLAGS_rounds; ++round) {
    const std::vector<planned_request> requests =
        PlanArrivals(plan, kinds, random);
    const std::string run_id = FormatHex(unique.Next());
    const bool is_warm_up = round == 0;
    if (!direct.RunRound(requests, run_id + "-d", is_warm_up) ||
        !through_host.RunRound(requests, run_id + "-h", is_warm_up)) {
      std::cerr << "a request was not answered\n";
      return kExitNotAnswered;
    }
  }
  PrintResults(direct, through_host);
  return 0;
}

int Main() {
  const result<endpoint> target = ParseEndpoint(FLAGS_target);
  const result<endpoint> host = ParseEndpoint(FLAGS_host);
  const result<std::vector<work_kind>> kinds = ParseWorkMix(FLAGS_mix);
  if (!IsOk(target) || !IsOk(host) || !IsOk(kinds) || FLAGS_rate <= 0.0 ||
      FLAGS_rounds < 1) {
    std::cerr << "wrong value of --target, --host, --mix, --rate or --rounds\n";
    return kExitUsage;
  }
  return Measure(ValueOf(target), ValueOf(host), ValueOf(kinds));
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::SetUsageMessage("Measures the latency that a host adds.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bulrushshore::Main();
}

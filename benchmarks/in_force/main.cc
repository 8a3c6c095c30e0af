// in_force: measures how quickly a release note is in force on all hosts of a
// fleet of processes on this machine.

#include <algorithm>
#include <iostream>
#include <string>

#include <gflags/gflags.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "benchmarks/in_force/measured_fleet.h"
#include "benchmarks/in_force/scenarios.h"

DEFINE_string(binaries, "", "folder of bulrushd and bulrush_call");
DEFINE_string(work, "", "folder for settings and logs");
DEFINE_string(store, "", "address of the stand-in object store, IP:PORT");
DEFINE_string(target, "", "address of a stand-in target, IP:PORT");
DEFINE_uint64(hosts, 24, "number of hosts");
DEFINE_uint64(notes, 200, "number of notes over all scenarios");
DEFINE_uint64(rest_seconds, 15, "time at rest that is measured");
DEFINE_uint64(payment_seconds, 8, "time of payments while the store is away");
DEFINE_uint64(limit_ms, 5000, "time within which a note is in force");
DEFINE_uint64(seed, 1, "seed of the choice of hosts");

namespace bulrushshore {
namespace {

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

// Notes of each scenario; all other notes are published to a healthy fleet.
struct note_shares {
  explicit note_shares(std::uint64_t notes)
      : restarts(std::max<std::uint64_t>(1, notes / 5)),
        slow_store(std::max<std::uint64_t>(1, notes / 40)),
        store_away(std::max<std::uint64_t>(2, notes / 20)),
        frozen_host(std::max<std::uint64_t>(1, notes / 10)) {
    const std::uint64_t faulty =
        restarts + slow_store + store_away + frozen_host;
    healthy = notes > faulty ? notes - faulty : 1;
  }

  std::uint64_t restarts;
  std::uint64_t slow_store;
  std::uint64_t store_away;
  std::uint64_t frozen_host;
  std::uint64_t healthy = 0;
};

// Returns true if everything held that must always hold.
bool Measure(measured_fleet& fleet) {
  seeded_random random(FLAGS_seed);
  in_force_scenarios scenarios(fleet, random);
  const note_shares notes(FLAGS_notes);
  scenarios.MeasureRest(std::chrono::seconds(FLAGS_rest_seconds));
  scenarios.MeasureHealthy(notes.healthy);
  scenarios.MeasureRestarts(notes.restarts);
  scenarios.MeasureSlowStore(notes.slow_store);
  scenarios.MeasureStoreAway(notes.store_away);
  scenarios.MeasureFrozenHost(notes.frozen_host);
  const bool has_cold_start =
      scenarios.CheckColdStart(std::chrono::seconds(FLAGS_payment_seconds));
  const bool is_lonely_right = scenarios.CheckLonelyHost();
  scenario_figures last;
  fleet.Await(fleet.Publish(), {}, std::nullopt, last);
  const std::size_t disagreeing = fleet.CountDisagreeing();
  const std::uint64_t reverts = fleet.Reverts();
  PrintFigure("disagreeing", static_cast<double>(disagreeing), "hosts");
  PrintFigure("reverts", static_cast<double>(reverts), "reports");
  PrintFigure("cold_start.from_peers", has_cold_start ? 1 : 0, "hosts");
  return disagreeing == 0 && reverts == 0 && has_cold_start &&
         is_lonely_right && fleet.late() == 0;
}

int Run() {
  const result<endpoint> store = ParseEndpoint(FLAGS_store);
  const result<endpoint> target = ParseEndpoint(FLAGS_target);
  if (!IsOk(store) || !IsOk(target) || FLAGS_hosts < 2 ||
      FLAGS_binaries.empty() || FLAGS_work.empty()) {
    std::cerr << "in_force: --binaries, --work, --store and --target are "
                 "required, and at least two hosts\n";
    return kExitUsage;
  }
  caf::actor_system_config config;
  caf::actor_system system(config);
  const runtime_clock time_source(system.clock());
  fleet_plan plan;
  plan.settings = {FLAGS_binaries, FLAGS_work, ValueOf(store), {}};
  plan.hosts = FLAGS_hosts;
  plan.target = ValueOf(target);
  plan.in_force_limit = std::chrono::milliseconds(FLAGS_limit_ms);
  PrintFigure("hosts", static_cast<double>(FLAGS_hosts), "hosts");
  measured_fleet fleet(plan, time_source);
  if (!fleet.Start()) {
    std::cerr << "in_force: the first note did not come into force\n";
    return kExitBroken;
  }
  return Measure(fleet) ? 0 : kExitBroken;
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures how quickly a release note is in force on all hosts\n\n"
      "  in_force --binaries=FOLDER --work=FOLDER --store=IP:PORT\n"
      "           --target=IP:PORT [--hosts=N] [--notes=N]\n\n"
      "Prints lines \"name value unit\". Times have a resolution of 10 ms.\n"
      "Exit codes: 0 everything held, 1 a revert, a late report, a\n"
      "disagreement or a failed start, 2 wrong usage.");
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bulrushshore::Run();
}

#ifndef BENCHMARKS_IN_FORCE_SCENARIOS_H_
#define BENCHMARKS_IN_FORCE_SCENARIOS_H_

#include <chrono>
#include <cstdint>

#include "benchmarks/in_force/measured_fleet.h"
#include "libraries/base/random_source.h"

namespace bulrushshore {

// The scenarios of the run, each with its own figures. Each leaves the store in
// service and all hosts running. Not thread safe.
class in_force_scenarios {
 public:
  // Precondition: the references outlive this object; the fleet is started.
  in_force_scenarios(measured_fleet& fleet, random_source& random);

  // No note is published.
  void MeasureRest(std::chrono::seconds time);

  // Nothing fails.
  void MeasureHealthy(std::uint64_t notes);

  // Before every fourth note 30% of the hosts are killed and replaced.
  void MeasureRestarts(std::uint64_t notes);

  // Every call to the store takes 400 ms longer.
  void MeasureSlowStore(std::uint64_t notes);

  // The store goes out of service as soon as a note is accepted, for 2.5 s.
  // With every second note one host is killed and replaced meanwhile.
  void MeasureStoreAway(std::uint64_t notes);

  // One host is paused for 4 or 8 s while notes are published.
  void MeasureFrozenHost(std::uint64_t notes);

  // While the store is away, a new host starts and payments are sent; a note is
  // published as soon as the store is back. Returns false if the host did not
  // become ready with the newest version.
  bool CheckColdStart(std::chrono::seconds payment_time);

  // Starts a host that reaches neither store nor peers. Returns false if it
  // became ready or gave no reason.
  bool CheckLonelyHost();

 private:
  void PublishOneByOne(std::uint64_t notes, scenario_figures& figures);
  std::vector<fleet_host*> ChooseHosts(std::size_t count);
  void PublishAroundRestart(bool starts_first,
                            latency_histogram& start_times,
                            scenario_figures& figures);
  void PublishToFrozen(std::uint64_t notes,
                       std::chrono::milliseconds time,
                       latency_histogram& catch_up_times,
                       scenario_figures& figures);
  void PrintPayments(const std::string& file) const;

  measured_fleet& fleet_;
  random_source& random_;
};

}  // namespace bulrushshore

#endif  // BENCHMARKS_IN_FORCE_SCENARIOS_H_

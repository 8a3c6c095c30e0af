#ifndef BENCHMARKS_IN_FORCE_MEASURED_FLEET_H_
#define BENCHMARKS_IN_FORCE_MEASURED_FLEET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "benchmarks/in_force/fleet_host.h"
#include "benchmarks/in_force/store_control.h"
#include "libraries/store/catalog_publisher.h"
#include "libraries/store/http_object_store.h"
#include "utilities/caller_tool/latency_histogram.h"

namespace bulrushshore {

struct fleet_plan {
  fleet_settings settings;
  std::size_t hosts = 24;
  // A target that answers the service "payments".
  endpoint target;
  // Time within which a note is to be in force everywhere.
  std::chrono::milliseconds in_force_limit{5'000};
};

struct published_note {
  std::uint64_t version = 0;
  time_point accepted_at;
};

// What a scenario measured.
struct scenario_figures {
  std::uint64_t notes = 0;
  // One time per note, that of the slowest host.
  latency_histogram note_times;
  // One time per note and host.
  latency_histogram host_times;
  // Notes and hosts for which the limit passed.
  std::uint64_t late = 0;
};

// What the fleet has used up to a moment.
struct fleet_usage {
  time_point taken_at;
  std::map<std::string, std::uint64_t> store_calls;
  // By host id, with the number of the process.
  std::map<std::string, std::pair<std::uint64_t, host_usage>> hosts;
  std::uint64_t reverts = 0;
};

// Hosts in three zones, an operator that publishes to them and the clock of the
// measurement. Prints figures as lines "name value unit". Not thread safe.
class measured_fleet {
 public:
  // Precondition: `time_source` outlives this object.
  measured_fleet(const fleet_plan& plan, const clock& time_source);

  // Starts the hosts and publishes the first note; false if it does not come
  // into force.
  bool Start();

  // Publishes the next note. Ends the program if it is not accepted.
  published_note Publish();

  // Waits until the hosts report the note and adds the times to `figures`. A
  // host's time counts from the acceptance of the note, from `path_since` or
  // from the moment since which its process can run, whichever is last.
  // Hosts in `excluded` are left out.
  void Await(const published_note& note,
             const std::set<const fleet_host*>& excluded,
             std::optional<time_point> path_since,
             scenario_figures& figures);

  // Returns the number of hosts that report `note` at this moment.
  std::size_t CountReported(const published_note& note);

  fleet_usage Usage();

  // Prints the figures of a scenario and what was used since `begin`.
  void Print(const std::string& name,
             const scenario_figures& figures,
             const fleet_usage& begin);

  // Returns the number of hosts whose last report is not the newest version.
  std::size_t CountDisagreeing();

  // Returns the number of reverts of all hosts so far.
  std::uint64_t Reverts();

  // Returns the number of reports of all scenarios for which the limit passed.
  std::uint64_t late() const { return late_; }

  std::vector<std::unique_ptr<fleet_host>>& hosts() { return hosts_; }
  const fleet_plan& plan() const { return plan_; }
  const store_control& store() const { return control_; }
  const clock& time_source() const { return clock_; }
  std::uint64_t version() const { return version_; }

 private:
  std::string NextNote() const;
  void PrintUsage(const std::string& prefix, const fleet_usage& begin);

  const fleet_plan plan_;
  const clock& clock_;
  http_object_store object_store_;
  catalog_publisher publisher_;
  store_control control_;
  std::uint64_t version_ = 0;
  std::uint64_t late_ = 0;
  std::vector<std::unique_ptr<fleet_host>> hosts_;
};

// Prints one line "in_force.NAME VALUE UNIT".
void PrintFigure(const std::string& name,
                 double value,
                 const std::string& unit);

// Blocks for `time`.
void Pause(duration time);

}  // namespace bulrushshore

#endif  // BENCHMARKS_IN_FORCE_MEASURED_FLEET_H_

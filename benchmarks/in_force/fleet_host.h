#ifndef BENCHMARKS_IN_FORCE_FLEET_HOST_H_
#define BENCHMARKS_IN_FORCE_FLEET_HOST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "benchmarks/in_force/child_process.h"
#include "benchmarks/in_force/version_watch.h"
#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"

namespace bulrushshore {

// What every host of the run has in common.
struct fleet_settings {
  std::string binaries;
  // Folder of settings files and logs.
  std::string work;
  endpoint store;
  std::vector<endpoint> seeds;
};

struct host_addresses {
  endpoint caller;
  endpoint peer;
  endpoint admin;
};

// Figures of a process that only grow.
struct host_usage {
  double processor_seconds = 0;
  std::uint64_t peer_bytes_sent = 0;
  std::uint64_t peer_bytes_received = 0;
  std::uint64_t peer_frames = 0;
};

// Returns three addresses on loopback that are free now. Not thread safe.
host_addresses FreeAddresses();

// One host of the fleet, whose process can be replaced. Not thread safe.
class fleet_host {
 public:
  // Precondition: `time_source` outlives this object.
  fleet_host(std::string id,
             std::string zone,
             host_addresses addresses,
             const fleet_settings& settings,
             const clock& time_source);

  // Starts the process. Precondition: it does not run.
  void Start();

  // Kills the process with SIGKILL.
  void Kill();

  // Stops the process where it is, until Resume().
  void Freeze();
  void Resume();

  // Nothing if the host does not answer.
  std::optional<host_usage> Usage() const;

  const std::string& id() const { return id_; }
  const host_addresses& addresses() const { return addresses_; }
  version_watch& watch() { return watch_; }

  // Time from which the present process can know of a configuration: its start
  // or the end of its last pause.
  time_point able_since() const { return able_since_; }

  // Number of the process, which counts from 1.
  std::uint64_t process_number() const { return process_number_; }

 private:
  const std::string id_;
  const host_addresses addresses_;
  const fleet_settings settings_;
  const std::string settings_file_;
  const clock& clock_;
  time_point able_since_;
  std::uint64_t process_number_ = 0;
  std::unique_ptr<child_process> process_;
  version_watch watch_;
};

}  // namespace bulrushshore

#endif  // BENCHMARKS_IN_FORCE_FLEET_HOST_H_

#ifndef LIBRARIES_DISPATCH_TARGET_TABLE_H_
#define LIBRARIES_DISPATCH_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/admission/concurrency_limit.h"
#include "libraries/base/clock.h"
#include "libraries/catalog/types.h"
#include "libraries/health/outlier_detector.h"

namespace bulrushshore {

// A registered target and the requests of this host that it runs.
struct target_entry {
  target registered;
  // Distinguishes the entry from earlier ones of the same name.
  std::uint64_t generation = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t long_in_flight = 0;
  bool has_trial_in_flight = false;
  std::uint32_t reported_load = 0;
  concurrency_limit limit;
  // Set while the target's own signal that it is leaving counts.
  std::optional<time_point> draining_signal_until;
};

// The targets of one service. Not thread safe.
class target_table {
 public:
  using entry_map = std::map<std::string, target_entry, std::less<>>;

  explicit target_table(const concurrency_limit_options& options);

  // Replaces the registered targets by those that `contents` has for the
  // service. A target whose address changed counts as a new one.
  void Apply(const catalog_contents& contents, std::string_view service);

  // Sets the IP addresses of the machines that are leaving.
  void SetDrainingMachines(const std::set<std::string>& ips);

  // Enters what the target says about itself; a signal counts for a limited
  // time, so that a target that stays is not lost to the service.
  // Returns true if the target starts or stops draining.
  bool SetDrainingSignal(std::string_view name,
                         bool is_draining,
                         time_point now);

  // Ends the signals that are over; returns true if there were any.
  bool ExpireDrainingSignals(time_point now);

  // Returns the time at which the next signal is over.
  std::optional<time_point> NextSignalExpiry() const;

  // Returns the targets with the draining state that follows from the release
  // note, the platform's list and the targets' own signals.
  std::vector<monitored_target> Monitored() const;

  // Returns null if the target is not registered.
  target_entry* Find(std::string_view name);

  entry_map& entries() { return entries_; }
  const entry_map& entries() const { return entries_; }

 private:
  concurrency_limit_options options_;
  entry_map entries_;
  std::uint64_t next_generation_ = 1;
  std::set<std::string> draining_ips_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_DISPATCH_TARGET_TABLE_H_

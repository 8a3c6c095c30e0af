#ifndef TESTS_SYSTEM_SCHEDULE_RUNNER_H_
#define TESTS_SYSTEM_SCHEDULE_RUNNER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/history/json_line_file.h"
#include "tests/system/fault_schedule.h"
#include "tests/system/process_fleet.h"

namespace bulrushshore {

// Name of the work kind of requests that crash their targets.
inline constexpr std::string_view kCrashingKind = "crashing";

// Sends load through a fleet while the faults of a schedule happen. A target
// that ends is started again, as a supervisor would do. Used by one thread.
class schedule_runner {
 public:
  // Precondition: `fleet` has started and outlives this object.
  schedule_runner(process_fleet& fleet,
                  const fault_schedule& schedule,
                  std::uint64_t seed);

  // Returns after the load, all faults and all callers have ended; false if
  // the histories are not complete.
  bool Run();

  // Returns the number of faults that took effect, by kind. A fault of a host
  // or target that is down at that time has none.
  const std::map<std::string, std::uint64_t>& injected() const {
    return injected_;
  }

 private:
  using milliseconds = std::chrono::milliseconds;

  struct host_status {
    bool is_down = false;
    // Tells a process from the one that replaced it.
    std::uint64_t generation = 0;
  };

  milliseconds Now() const;
  void At(milliseconds time, std::function<void()> action);
  void RunTimeline();
  void StartLoad();
  void Inject(const fault& value);
  bool InjectHostFault(const fault& value);
  bool InjectStoreFault(const fault& value);
  bool InjectTargetFault(const fault& value);
  bool InjectLinkFault(const fault& value);
  bool InjectRequests(const fault& value);
  bool PauseHost(std::size_t index, milliseconds length);
  bool CrashHost(std::size_t index, milliseconds downtime);
  bool StopHost(std::size_t index, milliseconds downtime);
  void AwaitHostStop(std::size_t index,
                     std::int64_t begin_ms,
                     milliseconds downtime);
  void ReplaceHost(std::size_t index);
  bool ChangeTargetMode(std::size_t index,
                        const std::string& mode,
                        milliseconds length);
  void RestartEndedTargets();
  void SendDuplicate(std::size_t first_host, bool has_foreign_key);
  void SendCrashingRequest(std::size_t host, std::size_t sends_left);
  void AwaitCrashingRequest(child_process& sent,
                            std::size_t host,
                            std::size_t sends_left);
  bool AwaitCallers();

  process_fleet& fleet_;
  const fault_schedule schedule_;
  const std::uint64_t seed_;
  const std::chrono::steady_clock::time_point start_;
  std::multimap<milliseconds, std::function<void()>> timeline_;
  std::array<host_status, process_fleet::kHosts> hosts_{};
  std::array<bool, process_fleet::kTargets> is_restart_planned_{};
  std::vector<std::unique_ptr<child_process>> callers_;
  std::unique_ptr<json_line_file> stops_;
  std::uint64_t duplicates_ = 0;
  std::map<std::string, std::uint64_t> injected_;
};

}  // namespace bulrushshore

#endif  // TESTS_SYSTEM_SCHEDULE_RUNNER_H_

#ifndef TESTS_PLATFORM_SOAK_SOAK_RUN_H_
#define TESTS_PLATFORM_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/event_loop/loop_clock.h"
#include "stand_ins/platform_store/platform_store.h"
#include "tests/platform/soak/soak_caller.h"
#include "tests/platform/soak/soak_host.h"
#include "tests/platform/soak/soak_ledger.h"
#include "tests/platform/soak/soak_target.h"

namespace bulrushshore {

struct soak_plan {
  std::string program;
  std::string work_folder;
  std::uint64_t seed = 1;
  std::size_t hosts = 6;
  std::size_t targets = 9;
  std::size_t callers = 24;
  // Time in which faults begin.
  std::chrono::seconds length{12};
};

// Plays one seed: real hosts on loopback, faults drawn from the seed, callers
// that go on all the while, and a calm time at the end in which all must be
// served. Used by one thread.
class soak_run : public soak_world {
 public:
  explicit soak_run(const soak_plan& plan);

  // Blocks until the run has ended. Prints what was injected and counted.
  // Returns true if no promise was broken.
  bool Play();

  // See soak_world.
  soak_request MakeRequest() override;
  soak_host& HostAt(std::size_t index) override { return *hosts_[index]; }
  std::size_t host_count() const override { return hosts_.size(); }
  soak_moment MomentOf(const soak_request& request) override;

 private:
  using action = std::function<void()>;

  void WriteConfiguration();
  void AddTarget();
  void After(std::chrono::milliseconds delay, action then);
  void ScheduleFaults();
  void InjectFault();
  void InjectHostFault(soak_host& host, std::chrono::milliseconds length);
  void InjectTargetFault(std::chrono::milliseconds length);
  void InjectStoreFault(std::chrono::milliseconds length);
  // Lets another writer put an object with an odd value into the store.
  void AddOddObject(std::string_view kind, std::chrono::milliseconds length);
  // Sends the request that crashes targets to a host, again and again.
  void SendCrashingRequest();
  void ReplaceTarget();
  void RestartWhenEnded(soak_host& host,
                        bool must_end_in_order,
                        time_point since);
  void NoteFault(const std::string& name, std::chrono::milliseconds length);
  void CheckHosts();
  void UpdateCalm();
  void CheckRecovery(std::uint64_t served, std::uint64_t ended);
  void Report() const;

  soak_plan plan_;
  boost::asio::io_context loop_{1};
  loop_clock time_;
  seeded_random random_;
  platform_store_stand_in store_;
  link_relay store_link_;
  endpoint store_address_;
  soak_ledger ledger_;
  std::vector<std::unique_ptr<soak_host>> hosts_;
  std::vector<std::unique_ptr<soak_target>> targets_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  std::vector<std::string> faults_;
  std::uint64_t version_ = 0;
  std::vector<time_point> version_written_;
  std::uint64_t requests_made_ = 0;
  std::size_t targets_made_ = 0;
  // The latest end of a fault so far.
  time_point disturbed_until_;
  bool is_ending_ = false;
};

}  // namespace bulrushshore

#endif  // TESTS_PLATFORM_SOAK_SOAK_RUN_H_

#include "libraries/probing/target_prober.h"

#include <condition_variable>
#include <map>
#include <mutex>

#include <gtest/gtest.h>
#include <caf/actor_system_config.hpp>

namespace bulrushshore {
namespace {

// Answers by port: even ports are healthy, port 3 is draining.
class scripted_probe_client : public probe_client {
 public:
  probe_outcome Probe(const endpoint& address) override {
    return {address.port % 2 == 0, address.port == 3};
  }
};

class outcome_collector {
 public:
  void Add(const probed_target& target, const probe_outcome& outcome) {
    const std::lock_guard<std::mutex> lock(mutex_);
    outcomes_[target.name] = outcome;
    changed_.notify_all();
  }

  std::map<std::string, probe_outcome> WaitFor(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this, count] { return outcomes_.size() >= count; });
    return outcomes_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, probe_outcome> outcomes_;
};

// Guards against targets that no worker probes, and against outcomes that are
// reported for another target.
TEST(TargetProberTest, ProbesEveryTargetAndReportsItsOutcome) {
  caf::actor_system_config config;
  caf::actor_system system(config);
  scripted_probe_client client;
  outcome_collector collector;
  const target_prober prober(
      system, client, {std::chrono::milliseconds(1), 3},
      [] {
        std::vector<probed_target> targets;
        for (std::uint16_t port = 1; port <= 7; ++port) {
          targets.push_back({"archive",
                             "archive-" + std::to_string(port),
                             {"127.0.0.1", port}});
        }
        return targets;
      },
      [&collector](const probed_target& target, const probe_outcome& outcome) {
        collector.Add(target, outcome);
      });
  const std::map<std::string, probe_outcome> outcomes = collector.WaitFor(7);
  EXPECT_EQ(outcomes.size(), 7U);
  EXPECT_EQ(outcomes.at("archive-2"), (probe_outcome{true, false}));
  EXPECT_EQ(outcomes.at("archive-3"), (probe_outcome{false, true}));
  EXPECT_EQ(outcomes.at("archive-5"), (probe_outcome{false, false}));
}

}  // namespace
}  // namespace bulrushshore

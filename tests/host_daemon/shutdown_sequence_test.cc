#include "services/host_daemon/shutdown_sequence.h"

#include <unistd.h>

#include <condition_variable>
#include <csignal>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

// Sends a stop signal to this process. The signals are blocked, so that it
// stays pending until someone waits for it. Two of the same kind would merge.
void SendSignal(int number) {
  ASSERT_EQ(kill(getpid(), number), 0);
}

// A host with one request in flight that ends only when it is cut off, or with
// none.
class fake_host : public stoppable_host {
 public:
  void BeginLeaving() override {
    steps.emplace_back("leave");
    on_leaving();
  }

  shutdown_report FinishRequests() override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      steps.emplace_back("finish");
    }
    on_finishing();
    if (!has_request) {
      return {true, {}, 0};
    }
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return is_cut_off_; });
    return {false, {"slow-1"}, 0};
  }

  void CutOffRequests() override {
    const std::lock_guard<std::mutex> lock(mutex_);
    steps.emplace_back("cut off");
    is_cut_off_ = true;
    changed_.notify_all();
  }

  std::vector<std::string> steps;
  bool has_request = false;
  std::function<void()> on_leaving = [] {};
  std::function<void()> on_finishing = [] {};

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_cut_off_ = false;
};

class ShutdownSequenceTest : public testing::Test {
 protected:
  shutdown_report Run(milliseconds grace) {
    return RunShutdown(signals_, grace, host_);
  }

  const stop_signals signals_;
  fake_host host_;
};

// Guards against a first signal that cuts requests off.
TEST_F(ShutdownSequenceTest, LeavesAndFinishesAfterOneSignal) {
  SendSignal(SIGTERM);
  const shutdown_report report = Run(milliseconds(0));
  EXPECT_TRUE(report.is_idle);
  EXPECT_EQ(host_.steps, (std::vector<std::string>{"leave", "finish"}));
  EXPECT_FALSE(signals_.WaitFor(milliseconds(0)))
      << "the end of the watch left a signal behind";
}

// Guards against a second signal that is ignored while requests are finished.
TEST_F(ShutdownSequenceTest, CutsOffAtTheSecondSignalWhileFinishing) {
  host_.has_request = true;
  host_.on_finishing = [] { SendSignal(SIGTERM); };
  SendSignal(SIGTERM);
  const shutdown_report report = Run(milliseconds(0));
  EXPECT_EQ(report.cut_request_ids, std::vector<std::string>{"slow-1"});
  EXPECT_EQ(host_.steps,
            (std::vector<std::string>{"leave", "finish", "cut off"}));
}

// Guards against a second signal that only skips the grace and then waits for
// the requests.
TEST_F(ShutdownSequenceTest, CutsOffAtTheSecondSignalInTheGrace) {
  host_.has_request = true;
  host_.on_leaving = [] { SendSignal(SIGINT); };
  SendSignal(SIGTERM);
  const shutdown_report report = Run(std::chrono::hours(1));
  EXPECT_FALSE(report.is_idle);
  EXPECT_EQ(host_.steps,
            (std::vector<std::string>{"leave", "cut off", "finish"}));
}

// Guards against a message that hides what was cut off.
TEST(DescribeCutRequestsTest, NamesAndCounts) {
  EXPECT_EQ(DescribeCutRequests({true, {}, 0}), "");
  EXPECT_EQ(DescribeCutRequests({false, {"a-1", "b-2"}, 3}),
            "requests cut off while they were served: 2 (a-1, b-2); "
            "connections cut off before their request was read: 3");
  EXPECT_EQ(DescribeCutRequests({false, {}, 1}),
            "requests cut off while they were served: 0; "
            "connections cut off before their request was read: 1");
}

}  // namespace
}  // namespace bulrushshore

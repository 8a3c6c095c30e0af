#ifndef LIBRARIES_CONFIGURATION_BLOCKING_EXECUTOR_H_
#define LIBRARIES_CONFIGURATION_BLOCKING_EXECUTOR_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace bulrushshore {

// Runs calls that block, such as those to the store, away from the actors.
// Implementations are thread safe.
class blocking_executor {
 public:
  virtual ~blocking_executor() = default;

  // Runs `task` later, after those submitted before. Tasks that have not
  // started when the executor stops are dropped.
  virtual void Submit(std::function<void()> task) = 0;

  // Waits for the task that runs and drops the others. Precondition: not
  // called from a task.
  virtual void Stop() = 0;
};

// Runs tasks one after the other on a thread of its own.
class thread_executor : public blocking_executor {
 public:
  thread_executor();
  // Stops.
  ~thread_executor() override;

  thread_executor(const thread_executor&) = delete;
  thread_executor& operator=(const thread_executor&) = delete;

  void Submit(std::function<void()> task) override;
  void Stop() override;

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CONFIGURATION_BLOCKING_EXECUTOR_H_

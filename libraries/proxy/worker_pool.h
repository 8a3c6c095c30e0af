#ifndef LIBRARIES_PROXY_WORKER_POOL_H_
#define LIBRARIES_PROXY_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace bulrushshore {

// A bounded number of threads, started as they are needed, behind a bounded
// queue. Thread safe.
class worker_pool {
 public:
  // Preconditions: both bounds are above 0.
  worker_pool(std::size_t max_threads, std::size_t max_pending);
  // Waits for all tasks.
  ~worker_pool();

  // Queues `task`; returns false if the queue is full.
  bool Submit(std::function<void()> task);

  // Finishes the queued tasks and ends the threads; later tasks are refused.
  void Shutdown();

  // Returns true if tasks wait and no thread is free for them.
  bool HasWaitingTasks() const;

  // Returns true if more than three quarters of the threads run a task.
  bool IsUnderPressure() const;

  // Returns the number of threads that run a task.
  std::size_t busy() const;

 private:
  void Run();

  const std::size_t max_threads_;
  const std::size_t max_pending_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> pending_;
  std::vector<std::thread> threads_;
  std::size_t busy_ = 0;
  bool is_stopping_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_WORKER_POOL_H_

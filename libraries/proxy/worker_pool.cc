#include "libraries/proxy/worker_pool.h"

#include <cassert>
#include <utility>

namespace bulrushshore {

worker_pool::worker_pool(std::size_t max_threads, std::size_t max_pending)
    : max_threads_(max_threads), max_pending_(max_pending) {
  assert(max_threads > 0 && max_pending > 0);
}

worker_pool::~worker_pool() {
  Shutdown();
}

bool worker_pool::Submit(std::function<void()> task) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_stopping_ || pending_.size() >= max_pending_) {
    return false;
  }
  pending_.push_back(std::move(task));
  const bool has_free_thread = busy_ + pending_.size() <= threads_.size();
  if (!has_free_thread && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { Run(); });
  }
  changed_.notify_one();
  return true;
}

void worker_pool::Shutdown() {
  std::vector<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
    threads.swap(threads_);
  }
  changed_.notify_all();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

bool worker_pool::HasWaitingTasks() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return busy_ + pending_.size() > max_threads_;
}

bool worker_pool::IsUnderPressure() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  constexpr std::size_t kNumerator = 3;
  constexpr std::size_t kDenominator = 4;
  return busy_ * kDenominator > max_threads_ * kNumerator || !pending_.empty();
}

std::size_t worker_pool::busy() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return busy_;
}

void worker_pool::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return is_stopping_ || !pending_.empty(); });
    if (pending_.empty()) {
      return;
    }
    const std::function<void()> task = std::move(pending_.front());
    pending_.pop_front();
    ++busy_;
    lock.unlock();
    task();
    lock.lock();
    --busy_;
  }
}

}  // namespace bulrushshore

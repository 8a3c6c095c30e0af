#include "libraries/configuration/blocking_executor.h"

#include <utility>

namespace bulrushshore {

thread_executor::thread_executor() : thread_([this] { Run(); }) {}

thread_executor::~thread_executor() {
  Stop();
}

void thread_executor::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
    tasks_.clear();
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void thread_executor::Submit(std::function<void()> task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_stopping_) {
      return;
    }
    tasks_.push_back(std::move(task));
  }
  changed_.notify_all();
}

void thread_executor::Run() {
  while (true) {
    std::function<void()> task;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return is_stopping_ || !tasks_.empty(); });
      if (is_stopping_) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

}  // namespace bulrushshore

#include "libraries/base/stop_signals.h"

#include <pthread.h>

#include <ctime>
#include <utility>

namespace bulrushshore {

stop_signals::stop_signals() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

void stop_signals::Wait() const {
  int received = 0;
  sigwait(&signals_, &received);
}

bool stop_signals::WaitFor(std::chrono::milliseconds limit) const {
  const std::chrono::seconds seconds =
      std::chrono::duration_cast<std::chrono::seconds>(limit);
  timespec wait{};
  wait.tv_sec = seconds.count();
  wait.tv_nsec = std::chrono::nanoseconds(limit - seconds).count();
  return sigtimedwait(&signals_, nullptr, &wait) > 0;
}

stop_signal_watch::stop_signal_watch(const stop_signals& signals,
                                     std::function<void()> on_signal)
    : thread_([this, &signals, on_signal = std::move(on_signal)] {
        signals.Wait();
        if (!is_ending_) {
          on_signal();
        }
      }) {}

stop_signal_watch::~stop_signal_watch() {
  is_ending_ = true;
  // Ends the wait. Sent to the one thread, so that it is no stop signal of the
  // process; has no effect behind the wait, because the signal is blocked.
  pthread_kill(thread_.native_handle(), SIGINT);
  thread_.join();
}

}  // namespace bulrushshore

#ifndef LIBRARIES_BASE_STOP_SIGNALS_H_
#define LIBRARIES_BASE_STOP_SIGNALS_H_

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <thread>

namespace bulrushshore {

// SIGTERM and SIGINT, taken by waiting for them, so that no code runs in a
// signal handler. Thread safe; a signal ends the wait of one thread.
class stop_signals {
 public:
  // Blocks the signals in this thread and all that it starts, for good.
  // Precondition: the process has no other thread yet.
  stop_signals();

  stop_signals(const stop_signals&) = delete;
  stop_signals& operator=(const stop_signals&) = delete;

  // Blocks until a signal arrives.
  void Wait() const;

  // Returns true if a signal arrived within `limit`.
  bool WaitFor(std::chrono::milliseconds limit) const;

 private:
  sigset_t signals_;
};

// Calls a function at the first stop signal that arrives while this object
// exists. Thread safe.
class stop_signal_watch {
 public:
  // `on_signal` runs on a thread of this object. Precondition: `signals`
  // outlives this object, and nobody else waits for them meanwhile.
  stop_signal_watch(const stop_signals& signals,
                    std::function<void()> on_signal);
  // Waits for `on_signal` if it runs.
  ~stop_signal_watch();

  stop_signal_watch(const stop_signal_watch&) = delete;
  stop_signal_watch& operator=(const stop_signal_watch&) = delete;

 private:
  std::atomic<bool> is_ending_ = false;
  std::thread thread_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_STOP_SIGNALS_H_

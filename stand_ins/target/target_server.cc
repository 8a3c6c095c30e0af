#include "stand_ins/target/target_server.h"

#include <sys/socket.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "stand_ins/target/connection.h"

namespace bulrushshore {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kKeepAliveMs = 60'000;
constexpr std::size_t kMaxRequestsPerConnection = 1'000'000;
// How soon an idle connection notices that the server stops.
constexpr int kStopCheckMs = 100;

// Starts a thread for each connection that finds no idle one. A fixed pool of
// the size of the connection limit would hold hundreds of threads in each of
// dozens of stand-ins on one machine.
class growing_thread_pool : public httplib::TaskQueue {
 public:
  explicit growing_thread_pool(std::size_t limit) : limit_(limit) {}

  void enqueue(std::function<void()> task) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    tasks_.push_back(std::move(task));
    if (idle_threads_ < tasks_.size() && threads_.size() < limit_) {
      threads_.emplace_back([this] { Run(); });
    }
    changed_.notify_one();
  }

  void shutdown() override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      is_stopping_ = true;
    }
    changed_.notify_all();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

 private:
  void Run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
      ++idle_threads_;
      changed_.wait(lock, [this] { return is_stopping_ || !tasks_.empty(); });
      --idle_threads_;
      if (tasks_.empty()) {
        return;
      }
      const std::function<void()> task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  const std::size_t limit_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_threads_ = 0;
  bool is_stopping_ = false;
};

// The library waits for the body of a request that states no length until the
// connection closes; by RFC 9112, section 6.3, such a request has no body.
void SetMissingContentLength(httplib::Request& request) {
  if (!request.has_header("Content-Length") &&
      !request.has_header("Transfer-Encoding")) {
    request.set_header("Content-Length", "0");
  }
}

}  // namespace

target_server::target_server(std::size_t max_connections) {
  new_task_queue = [max_connections]() -> httplib::TaskQueue* {
    return new growing_thread_pool(max_connections);
  };
  set_tcp_nodelay(true);
  // Only for the Keep-Alive header: process_and_close_socket() decides.
  set_keep_alive_timeout(kKeepAliveMs / 1000);
  set_keep_alive_max_count(kMaxRequestsPerConnection);
}

std::optional<int> target_server::Bind(int port) {
  const std::string kLoopback = "127.0.0.1";
  int bound_port = port;
  if (port == 0) {
    bound_port = bind_to_any_port(kLoopback);
  } else if (!bind_to_port(kLoopback, port)) {
    return std::nullopt;
  }
  // The library's backlog of 5 drops connections in a burst.
  if (bound_port <= 0 || ::listen(svr_sock_, kListenBacklog) != 0) {
    return std::nullopt;
  }
  return bound_port;
}

void target_server::FreezeOpenConnections() {
  freeze_epoch_.fetch_add(1);
}

bool target_server::IsCurrentConnectionFrozen() const {
  const connection* const current = connection::Current();
  return current != nullptr && current->epoch() < freeze_epoch_.load();
}

bool target_server::IsStopping() const {
  return svr_sock_ == INVALID_SOCKET;
}

bool target_server::process_and_close_socket(socket_t socket) {
  connection stream(socket, freeze_epoch_.load());
  int idle_ms = 0;
  while (!IsStopping() && idle_ms < kKeepAliveMs) {
    if (!stream.WaitReadable(kStopCheckMs)) {
      idle_ms += kStopCheckMs;
      continue;
    }
    idle_ms = 0;
    bool is_closed = false;
    if (!process_request(stream, false, is_closed, SetMissingContentLength) ||
        is_closed) {
      return true;
    }
  }
  return true;
}

}  // namespace bulrushshore

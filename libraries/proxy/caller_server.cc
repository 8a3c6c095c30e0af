#include "libraries/proxy/caller_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include <httplib.h>

#include "libraries/http_client/exchange_stream.h"
#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 64;
constexpr std::string_view kRequestIdHeader = "X-Request-Id";

bool IsRequestId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxRequestIdBytes &&
         text.find_first_not_of(
             "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
             "0123456789._-") == std::string_view::npos;
}

class thread_contention : public contention_source {
 public:
  explicit thread_contention(const worker_pool& workers) : workers_(workers) {}

  bool HasWaitingConnections() const override {
    return workers_.HasWaitingTasks();
  }

 private:
  const worker_pool& workers_;
};

// Set on the accepting thread while it runs a task that found no room.
thread_local bool is_overflow = false;

}  // namespace

// Accepts connections and hands their sockets to the caller_server.
class caller_server::listener : public httplib::Server {
 public:
  explicit listener(caller_server& owner) : owner_(owner) {
    set_tcp_nodelay(true);
    new_task_queue = [&owner] { return new task_queue(owner); };
  }

  // The library listens with a backlog of 5; listening again replaces it.
  bool SetBacklog(int backlog) { return ::listen(svr_sock_, backlog) == 0; }

 private:
  class task_queue : public httplib::TaskQueue {
   public:
    explicit task_queue(caller_server& owner) : owner_(owner) {}

    void enqueue(std::function<void()> task) override {
      owner_.OnAccepted();
      if (!owner_.workers_.Submit(task)) {
        is_overflow = true;
        task();
        is_overflow = false;
        return;
      }
      owner_.MakeRoomForWaiting();
    }

    void shutdown() override {
      owner_.OnAcceptLoopEnd();
      owner_.workers_.Shutdown();
    }

   private:
    caller_server& owner_;
  };

  bool process_and_close_socket(socket_t socket) override {
    if (is_overflow) {
      owner_.OnOverflow(socket);
    } else {
      owner_.OnConnection(socket);
    }
    return true;
  }

  caller_server& owner_;
};

caller_server::caller_server(const caller_server_options& options,
                             const clock& source,
                             request_handler& handler,
                             metric_registry& metrics)
    : options_(options),
      clock_(source),
      handler_(handler),
      connections_(metrics.GetCounter("bulrush_proxy_connections_total",
                                      "Connections accepted from callers.")),
      rejected_connections_(metrics.GetCounter(
          "bulrush_proxy_rejected_connections_total",
          "Connections closed because all threads were busy.")),
      idle_closed_(
          metrics.GetCounter("bulrush_proxy_idle_connections_closed_total",
                             "Idle connections closed to free their threads.")),
      requests_in_flight_(metrics.GetGauge("bulrush_proxy_requests_in_flight",
                                           "Requests being served.")),
      random_(seeded_random::FromSystemEntropy()),
      workers_(options.max_threads, options.max_pending_connections),
      listener_(std::make_unique<listener>(*this)) {}

caller_server::~caller_server() {
  BeginShutdown();
  if (accept_thread_.joinable()) {
    StopAccepting();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      CutOffAll();
    }
    accept_thread_.join();
  }
}

status caller_server::Start() {
  const std::string& ip = options_.address.ip;
  int port = options_.address.port;
  if (port == 0) {
    port = listener_->bind_to_any_port(ip);
  } else if (!listener_->bind_to_port(ip, port)) {
    port = -1;
  }
  if (port <= 0 || !listener_->SetBacklog(options_.listen_backlog)) {
    return error{error_code::kUnavailable,
                 "cannot bind " + FormatEndpoint(options_.address)};
  }
  port_ = static_cast<std::uint16_t>(port);
  is_accepting_ = true;
  accept_thread_ = std::thread([this] { Accept(); });
  // The library's stop() has no effect before its loop runs.
  while (!listener_->is_running()) {
    std::this_thread::yield();
  }
  return OkStatus();
}

void caller_server::Accept() {
  listener_->listen_after_bind();
  is_accepting_ = false;
  if (!IsStopping()) {
    // FIXME: Bind and accept again. The library ends its loop at errors of
    // accept(2) other than EMFILE.
    LogEvent(log_level::kError, "accept_loop_ended", {{"port", port_}});
  }
}

void caller_server::StopAccepting() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::exchange(is_listener_stopped_, true)) {
      return;
    }
  }
  is_accepting_ = false;
  listener_->stop();
}

void caller_server::BeginShutdown() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  CloseAllIdle(/*with_fresh_ones=*/false);
}

void caller_server::OnAccepted() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++accepted_;
}

void caller_server::OnAcceptLoopEnd() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_accept_loop_done_ = true;
  }
  connection_closed_.notify_all();
}

shutdown_report caller_server::WaitUntilIdle(std::chrono::milliseconds limit) {
  BeginShutdown();
  StopAccepting();
  CloseAllIdle(/*with_fresh_ones=*/true);
  std::unique_lock<std::mutex> lock(mutex_);
  connection_closed_.wait_for(lock, limit, [this] {
    return is_waiting_stopped_ || (is_accept_loop_done_ && accepted_ == 0);
  });
  return CutOffAll();
}

void caller_server::StopWaiting() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_waiting_stopped_ = true;
  }
  connection_closed_.notify_all();
}

std::size_t caller_server::RequestsInFlight() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<std::size_t>(std::count_if(
      open_.begin(), open_.end(),
      [](const std::unordered_map<int, open_connection>::value_type& entry) {
        return entry.second.phase == connection_phase::kReading ||
               entry.second.phase == connection_phase::kServing;
      }));
}

void caller_server::OnOverflow(int socket) {
  rejected_connections_.Increment();
  caller_limits no_wait = options_.limits;
  no_wait.write_time = std::chrono::milliseconds(0);
  const thread_contention contention(workers_);
  caller_connection connection(socket, no_wait, clock_, contention);
  connection.WriteResponse(handler_.Reject(failure_point::kThreadsExhausted),
                           "GET", true);
  ::shutdown(socket, SHUT_RDWR);
  ::close(socket);
  const std::lock_guard<std::mutex> lock(mutex_);
  --accepted_;
}

void caller_server::OnConnection(int socket) {
  connections_.Increment();
  // Without these sockets the idle time alone ends the wait for a request.
  std::array<int, 2> wake_sockets = {kNoSocket, kNoSocket};
  (void)::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0,
                     wake_sockets.data());
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    open_connection& added = open_[socket];
    added = {};
    added.idle_since = clock_.Now();
    added.waker = wake_sockets[1];
  }
  Serve(socket, wake_sockets[0]);
  {
    // Under the lock, so that nobody shuts down a later socket with this
    // number.
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(socket);
    --accepted_;
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    for (const int wake_socket : wake_sockets) {
      if (wake_socket != kNoSocket) {
        ::close(wake_socket);
      }
    }
  }
  connection_closed_.notify_all();
}

void caller_server::Serve(int socket, int wake_socket) {
  const thread_contention contention(workers_);
  caller_connection connection(socket, options_.limits, clock_, contention);
  MakeRoomForWaiting();
  while (connection.WaitForRequest(wake_socket)) {
    if (!ServeOne(socket, connection)) {
      return;
    }
    MarkIdle(socket);
    MakeRoomForWaiting();
  }
}

bool caller_server::ServeOne(int socket, caller_connection& connection) {
  MarkReading(socket);
  std::variant<request_head, failure_point, connection_ended> read =
      connection.ReadRequest();
  if (std::holds_alternative<connection_ended>(read)) {
    return false;
  }
  if (const failure_point* point = std::get_if<failure_point>(&read)) {
    connection.WriteResponse(handler_.Reject(*point), "GET", true);
    MarkFinished(socket);
    connection.FinishSending();
    return false;
  }
  request_head& head = std::get<request_head>(read);
  const std::string method = head.request.method;
  const proxy_response response = Respond(socket, head);
  const bool is_last = !head.is_keep_alive || MustCloseAfterResponse(socket);
  const bool is_written = connection.WriteResponse(response, method, is_last);
  if (is_written && is_last) {
    MarkFinished(socket);
    connection.FinishSending();
  }
  return is_written && !is_last;
}

proxy_response caller_server::Respond(int socket, request_head& head) {
  const std::string request_id = RequestIdOf(head.request.headers);
  head.request.headers.Set(kRequestIdHeader, request_id);
  MarkServing(socket, request_id);
  requests_in_flight_.Add(1);
  proxy_response response = handler_.Handle(std::move(head.request), socket);
  requests_in_flight_.Add(-1);
  response.headers.Set(kRequestIdHeader, request_id);
  return response;
}

void caller_server::MarkReading(int socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  open_[socket].phase = connection_phase::kReading;
}

void caller_server::MarkServing(int socket, const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  open_connection& connection = open_[socket];
  connection.phase = connection_phase::kServing;
  connection.request_id = request_id;
}

void caller_server::MarkFinished(int socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  open_[socket].phase = connection_phase::kFinished;
}

void caller_server::EndWait(open_connection& connection) {
  connection.is_closing = true;
  if (connection.waker != kNoSocket) {
    ::shutdown(connection.waker, SHUT_RDWR);
  }
}

bool caller_server::MustCloseAfterResponse(int socket) const {
  if (workers_.IsUnderPressure()) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_stopping_ || open_.at(socket).is_closing;
}

void caller_server::MarkIdle(int socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  open_connection& connection = open_[socket];
  connection.phase = connection_phase::kIdle;
  connection.has_served_request = true;
  connection.request_id.clear();
  connection.idle_since = clock_.Now();
  if (is_stopping_) {
    // The shutdown began after this connection's last response was formed.
    EndWait(connection);
  }
}

void caller_server::MakeRoomForWaiting() {
  if (workers_.HasWaitingTasks()) {
    CloseLongestIdle();
  }
}

void caller_server::CloseLongestIdle() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::pair<const int, open_connection>* longest = nullptr;
  for (std::pair<const int, open_connection>& entry : open_) {
    const bool is_candidate = entry.second.phase == connection_phase::kIdle &&
                              !entry.second.is_closing;
    if (is_candidate &&
        (longest == nullptr ||
         entry.second.idle_since < longest->second.idle_since)) {
      longest = &entry;
    }
  }
  if (longest == nullptr) {
    return;
  }
  // Ends the wait for the next request. One that arrived before is served.
  EndWait(longest->second);
  idle_closed_.Increment();
}

void caller_server::CloseAllIdle(bool with_fresh_ones) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (std::pair<const int, open_connection>& entry : open_) {
    const bool is_closed_now =
        entry.second.phase == connection_phase::kIdle &&
        !entry.second.is_closing &&
        (with_fresh_ones || entry.second.has_served_request);
    if (is_closed_now) {
      EndWait(entry.second);
    }
  }
}

shutdown_report caller_server::CutOffAll() {
  shutdown_report report;
  // Connections that wait for a thread are accepted and not open yet.
  report.cut_unread_connections = accepted_ - open_.size();
  for (const std::pair<const int, open_connection>& entry : open_) {
    if (entry.second.phase == connection_phase::kServing) {
      report.cut_request_ids.push_back(entry.second.request_id);
    } else if (entry.second.phase == connection_phase::kReading) {
      ++report.cut_unread_connections;
    }
    ::shutdown(entry.first, SHUT_RDWR);
  }
  report.is_idle =
      report.cut_request_ids.empty() && report.cut_unread_connections == 0;
  return report;
}

bool caller_server::IsStopping() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_stopping_;
}

std::string caller_server::RequestIdOf(const http_headers& headers) {
  const std::optional<std::string> given = headers.Find(kRequestIdHeader);
  if (given.has_value() && IsRequestId(*given)) {
    return *given;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  return FormatHex(random_.Next());
}

}  // namespace bulrushshore

#ifndef LIBRARIES_PROXY_CALLER_SERVER_H_
#define LIBRARIES_PROXY_CALLER_SERVER_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/base/random_source.h"
#include "libraries/base/result.h"
#include "libraries/http/http_message.h"
#include "libraries/proxy/caller_connection.h"
#include "libraries/proxy/outcome.h"
#include "libraries/proxy/worker_pool.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

struct caller_server_options {
  // Port 0 takes a free one.
  endpoint address{"127.0.0.1", 0};
  std::size_t max_threads = 256;
  // Accepted connections that wait for a thread.
  std::size_t max_pending_connections = 256;
  int listen_backlog = 1024;
  caller_limits limits;
};

// Produces the responses. Implementations are thread safe.
class request_handler {
 public:
  virtual ~request_handler() = default;

  // Handles a request that carries X-Request-Id. `caller_socket` reports the
  // end of the caller's connection (see WaitForSocket()) and may be kNoSocket.
  virtual proxy_response Handle(proxy_request request, int caller_socket) = 0;

  // Returns the response to a request that could not be read.
  virtual proxy_response Reject(failure_point point) = 0;
};

// What became of the requests that were in flight at a shutdown.
struct shutdown_report {
  // No request was cut off.
  bool is_idle = false;
  // Ids of the requests that were cut off while they were served.
  std::vector<std::string> cut_request_ids;
  // Connections that were cut off before a whole request was read, so that
  // there is no id: the request was still arriving, or it waited for a thread.
  std::size_t cut_unread_connections = 0;
};

// Accepts connections of callers with cpp-httplib's server, one thread for each
// open connection within a bound. Thread safe.
class caller_server {
 public:
  // Preconditions: the references outlive this object.
  caller_server(const caller_server_options& options,
                const clock& source,
                request_handler& handler,
                metric_registry& metrics);
  // Cuts off what still runs and waits for the threads.
  ~caller_server();

  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  // Binds the address and starts to accept; kUnavailable if it cannot be bound.
  // Precondition: called once.
  status Start();

  // Returns the bound port. Precondition: Start() succeeded.
  std::uint16_t port() const { return port_; }

  // Serves on, but closes idle connections, and every other one after its next
  // response, so that callers move to other hosts.
  void BeginShutdown();

  // Stops accepting and waits until every request in flight has its response,
  // at most for `limit` or until StopWaiting(); what still runs then is cut off
  // and reported. Precondition: called once, after Start().
  shutdown_report WaitUntilIdle(std::chrono::milliseconds limit);

  // Ends WaitUntilIdle() as if its limit had passed, whether it was called
  // before or is called later.
  void StopWaiting();

  // Returns the number of requests being read or served.
  std::size_t RequestsInFlight() const;

  // Returns true between Start() and the end of accepting; a false value
  // without a shutdown means that the host can take no callers any more.
  bool IsAccepting() const { return is_accepting_; }

 private:
  class listener;

  enum class connection_phase {
    // Waits for a request.
    kIdle,
    kReading,
    kServing,
    // The last response was sent; the caller may still close its side.
    kFinished,
  };

  struct open_connection {
    connection_phase phase = connection_phase::kIdle;
    bool has_served_request = false;
    // The wait for the next request was ended; the connection closes behind
    // the request that it serves, if any.
    bool is_closing = false;
    // Shutting it down ends the wait for the next request. The caller's socket
    // itself stays open for reading, so that a request that arrives at the same
    // moment is read as a whole.
    int waker = kNoSocket;
    time_point idle_since;
    std::string request_id;
  };

  void Accept();
  void OnConnection(int socket);
  void OnOverflow(int socket);
  void Serve(int socket, int wake_socket);
  // Ends the wait of an idle connection. Precondition: mutex_ is held.
  static void EndWait(open_connection& connection);
  // Returns false if the connection must be closed.
  bool ServeOne(int socket, caller_connection& connection);
  proxy_response Respond(int socket, request_head& head);
  void MarkReading(int socket);
  void MarkServing(int socket, const std::string& request_id);
  void MarkFinished(int socket);
  bool MustCloseAfterResponse(int socket) const;
  void StopAccepting();
  void MarkIdle(int socket);
  // Called both when a connection starts to wait and when one becomes idle, so
  // that it does not matter which of them happens first.
  void MakeRoomForWaiting();
  void CloseLongestIdle();
  // Leaves out connections whose first request may be on its way, unless
  // `with_fresh_ones` is set.
  void CloseAllIdle(bool with_fresh_ones);
  void OnAccepted();
  void OnAcceptLoopEnd();
  // Returns what was cut off. Precondition: mutex_ is held.
  shutdown_report CutOffAll();
  bool IsStopping() const;
  std::string RequestIdOf(const http_headers& headers);

  const caller_server_options options_;
  const clock& clock_;
  request_handler& handler_;
  counter& connections_;
  counter& rejected_connections_;
  counter& idle_closed_;
  gauge& requests_in_flight_;

  mutable std::mutex mutex_;
  std::condition_variable connection_closed_;
  std::unordered_map<int, open_connection> open_;
  seeded_random random_;
  bool is_stopping_ = false;
  bool is_listener_stopped_ = false;
  bool is_accept_loop_done_ = false;
  bool is_waiting_stopped_ = false;
  // Accepted connections, those that wait for a thread included.
  std::size_t accepted_ = 0;
  std::atomic<bool> is_accepting_ = false;
  std::uint16_t port_ = 0;

  worker_pool workers_;
  std::unique_ptr<listener> listener_;
  std::thread accept_thread_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_CALLER_SERVER_H_

#ifndef LIBRARIES_PROXY_PROXY_SERVICE_H_
#define LIBRARIES_PROXY_PROXY_SERVICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/dispatch/dispatcher.h"
#include "libraries/idempotency/key_owner.h"
#include "libraries/membership/host_directory.h"
#include "libraries/proxy/attempt_runner.h"
#include "libraries/proxy/caller_server.h"
#include "libraries/proxy/connection_bound.h"
#include "libraries/proxy/key_claims.h"
#include "libraries/proxy/keyed_runner.h"
#include "libraries/proxy/request_accounting.h"
#include "libraries/proxy/request_pipeline.h"
#include "libraries/proxy/routed_snapshot.h"
#include "libraries/proxy/target_client.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

struct proxy_options {
  std::string host_id;
  caller_server_options server;
  target_client_options client;
  retry_options retries;
};

// What the proxy needs from the rest of the host. All outlive the proxy.
struct proxy_collaborators {
  const snapshot_source& configuration;
  dispatcher& targets;
  const host_directory& directory;
  key_owner& keys;
  key_claims& claims;
  const clock& source;
  metric_registry& metrics;
  // Answers "/_bulrush/" requests.
  discovery_handler discovery;
  // May be empty; see attempt_runner.
  crash_reporter report_crash{};
};

// The request path of one host. Order of a graceful stop: BeginShutdown(), a
// pause in which callers learn of it, WaitUntilIdle(), then
// key_owner::SealAndExport() and the hand-over. Thread safe.
class proxy_service {
 public:
  proxy_service(const proxy_options& options, const proxy_collaborators& parts);

  // Starts to serve callers; kUnavailable if the address cannot be bound.
  // Precondition: called once.
  status Start();

  // Serves on, but makes callers leave.
  void BeginShutdown();

  // Stops accepting, finishes the requests in flight within `limit` and
  // reports those that were cut off. Blocks.
  shutdown_report WaitUntilIdle(std::chrono::milliseconds limit);

  // Ends WaitUntilIdle() as if its limit had passed, whether it was called
  // before or is called later.
  void StopWaiting();

  // Returns the number of requests being read or served.
  std::size_t RequestsInFlight() const { return server_.RequestsInFlight(); }

  // Returns the port of callers. Precondition: Start() succeeded.
  std::uint16_t port() const { return server_.port(); }

  // Returns false if the proxy cannot take callers (for readiness).
  bool IsAccepting() const { return server_.IsAccepting(); }

 private:
  routed_snapshot_cache configuration_;
  target_client client_;
  connection_bound bound_;
  attempt_runner attempts_;
  keyed_runner keyed_;
  request_accounting accounting_;
  request_pipeline pipeline_;
  caller_server server_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_PROXY_SERVICE_H_

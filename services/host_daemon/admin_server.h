#ifndef SERVICES_HOST_DAEMON_ADMIN_SERVER_H_
#define SERVICES_HOST_DAEMON_ADMIN_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/metrics.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace bulrushshore {

// What the admin endpoints show. The functions are called from the server's
// threads and must be thread safe.
struct admin_sources {
  // Returns the reasons why the host is not ready; empty if it is ready.
  std::function<std::vector<std::string>()> unready_reasons;
  // Returns the version of the configuration in force; 0 without one.
  std::function<std::uint64_t()> catalog_version;
  std::function<nlohmann::json()> status;
  // Releases a request fingerprint that is held back; false if it is unknown.
  std::function<bool(std::string_view fingerprint)> release_fingerprint;
};

// Serves metrics, health, status and the audit log on an address of its own,
// so that operators reach a host whose caller threads are all in use.
class admin_server {
 public:
  // Precondition: `metrics` and `audit` outlive this object.
  admin_server(admin_sources sources,
               const metric_registry& metrics,
               const audit_log& audit);
  ~admin_server();

  admin_server(const admin_server&) = delete;
  admin_server& operator=(const admin_server&) = delete;

  // Binds `address` and serves on a thread of its own. kUnavailable if the
  // address is in use. Not thread safe.
  status Start(const endpoint& address);

  // Stops serving. Not thread safe; harmless if the server does not run.
  void Stop();

 private:
  void AddHandlers();

  const admin_sources sources_;
  const metric_registry& metrics_;
  const audit_log& audit_;
  const std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
};

// Returns the JSON form of `record`. Thread safe.
nlohmann::json AuditRecordToJson(const audit_record& record);

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_ADMIN_SERVER_H_

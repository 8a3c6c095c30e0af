#ifndef TESTS_PLATFORM_SOAK_SOAK_LEDGER_H_
#define TESTS_PLATFORM_SOAK_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/event_loop/http_connection.h"

namespace bulrushshore {

// A request as its caller knows it.
struct soak_request {
  std::string id;
  std::size_t host = 0;
  // Counts the starts of the host.
  std::uint32_t host_start = 0;
  bool is_idempotent = true;
  // The first version of the configuration that has the route.
  std::uint64_t route_version = 1;
  time_point sent;
  std::chrono::milliseconds deadline{0};
};

// What the soak knows of the moment at which a request ended.
struct soak_moment {
  // The host was not killed, paused or stopped since the request was sent.
  bool is_host_undisturbed = true;
  // The configuration with the route was written long enough ago, and nothing
  // was disturbed since, so that the host must have it in force.
  bool is_route_in_force = false;
};

// End of the path of a request that ends each target that runs it.
inline constexpr std::string_view kCrashingName = "crashing";

// Records what callers and targets see and checks the promises of the
// platform's pages on it. Not thread safe.
class soak_ledger {
 public:
  // A target starts to run a request and will answer with `body`.
  void OnRun(const std::string& id,
             std::string_view target,
             std::string_view body,
             time_point now);

  // A request has reached a target of `service`, which may refuse it.
  void OnArrival(const std::string& service,
                 const std::string& id,
                 time_point now);

  // A caller has made a request to `service`.
  void OnRequest(const std::string& service, time_point now);

  // The request that crashes targets is sent to a host. `is_host_in_touch` says
  // that the host was undisturbed for long enough to know of earlier crashes.
  void OnCrashingRequest(const std::string& id, bool is_host_in_touch);
  // It has ended a target.
  void OnCrash(const std::string& id, std::string_view target, time_point now);

  // A caller has got `outcome`.
  void OnEnd(const soak_request& request,
             const exchange_outcome& outcome,
             const soak_moment& moment);

  // A caller has left at its deadline.
  void OnGivenUp(const soak_request& request);

  // Checks what can only be known at the end.
  void CheckAtEnd();

  void Violate(std::string_view rule, const std::string& detail);

  const std::vector<std::string>& violations() const { return violations_; }
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }
  std::uint64_t Count(const std::string& name) const;

 private:
  struct run {
    std::string target;
    std::string body;
    time_point at;
  };

  void CheckSuccess(const soak_request& request,
                    const received_response& received);
  void CheckDenial(const soak_request& request, const soak_moment& moment);
  void CheckCut(const soak_request& request, const soak_moment& moment);
  void CheckRepeats();
  void CheckCrashes();

  // What the retry budget of one service is judged by, in order of time.
  struct service_load {
    std::vector<time_point> requests;
    std::vector<time_point> repeats;
    std::set<std::string> arrived;
  };
  struct crash {
    std::string id;
    std::string target;
    time_point at;
  };

  std::map<std::string, service_load> loads_;
  std::vector<crash> crashes_;
  std::set<std::string> crashing_in_touch_;
  std::map<std::string, std::vector<run>> runs_;
  // Requests that must not repeat, and those that a host said have not run.
  std::vector<std::string> unrepeatable_;
  std::vector<std::string> promised_not_run_;
  // The newest version that a start of a host has shown.
  std::map<std::pair<std::size_t, std::uint32_t>, std::uint64_t> shown_;
  std::map<std::string, std::uint64_t> counts_;
  std::vector<std::string> violations_;
};

}  // namespace bulrushshore

#endif  // TESTS_PLATFORM_SOAK_SOAK_LEDGER_H_

#ifndef LIBRARIES_DISPATCH_SERVICE_DISPATCHER_H_
#define LIBRARIES_DISPATCH_SERVICE_DISPATCHER_H_

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <caf/actor.hpp>
#include <caf/actor_addr.hpp>
#include <caf/actor_system.hpp>

#include "libraries/catalog/types.h"
#include "libraries/dispatch/dispatcher.h"
#include "libraries/dispatch/service_controller.h"
#include "libraries/dispatch/service_policy.h"
#include "libraries/dispatch/service_status.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

class acquire_ticket;
struct service_signals;

struct service_dispatcher_options {
  // Actor of the audit records.
  std::string host_id;
  // Availability zone of this host.
  std::string zone;
  service_policy policy;
  // Seeds the choice of targets; drawn from the operating system if absent.
  std::optional<std::uint64_t> seed;
  // The destructor waits for the actors to end. Off where one thread runs the
  // actors and destroys the dispatcher, as with CAF's testing scheduler.
  bool waits_for_actors = true;
};

// Gives each service of the configuration an actor that owns all decisions
// about it, and passes requests to these actors.
//
// With CAF's work stealing scheduler an idle worker may find a message late.
// The host daemon therefore sets "scheduler.policy" to "sharing".
class service_dispatcher : public dispatcher {
 public:
  // Precondition: the arguments outlive this object, and its actors too if
  // `options.waits_for_actors` is off.
  service_dispatcher(caf::actor_system& system,
                     service_dispatcher_options options,
                     audit_log& audit,
                     metric_registry& metrics);

  // Refuses waiting requests, stops the actors and waits for their end, because
  // they use `audit` and `metrics`. Precondition: no other thread uses this
  // object any more, and the caller is not an actor of `system`.
  ~service_dispatcher() override;

  service_dispatcher(const service_dispatcher&) = delete;
  service_dispatcher& operator=(const service_dispatcher&) = delete;

  // See dispatcher.
  acquire_outcome Acquire(const acquire_request& request) override;
  void Release(std::string_view service,
               std::uint64_t grant_id,
               const attempt_report& report) override;

  // Starts an Acquire() without waiting for its outcome. The result is always
  // delivered, by the request's deadline and the service's patience. Thread
  // safe; does not block.
  std::future<acquire_outcome> BeginAcquire(const acquire_request& request);

  // Puts a configuration in force: targets are added, changed and withdrawn,
  // and work in flight ends normally. Precondition: `snapshot` is not null.
  // Called by one thread at a time; does not block.
  void Apply(std::shared_ptr<const catalog_snapshot> snapshot);

  // Sets the IP addresses of the machines that the platform lists as leaving;
  // their targets take no new work. Called by the thread that calls Apply();
  // does not block.
  void SetDrainingMachines(std::set<std::string> ips);

  // Returns the state of all services of the configuration in force. Services
  // whose actor does not answer within a second are left out. Thread safe;
  // blocks.
  std::vector<service_status> Status() const;

  // Enters the result of an active probe. Thread safe; does not block.
  void ReportProbe(std::string_view service,
                   std::string_view target,
                   const probe_report& report);

  // Enters that `targets` closed their connections while they ran the request,
  // as another host has seen. Requests submitted after this call are judged
  // with it. Thread safe; does not block.
  void ReportLosses(std::string_view service,
                    std::uint64_t fingerprint,
                    std::vector<std::string> targets);

  // Ends the hold of a request that crashed targets; returns true if it was
  // held back by a service. Thread safe; blocks.
  bool ReleaseFingerprint(std::uint64_t fingerprint);

  // Returns true if most services with recent traffic look as if the fault
  // were with this host. Thread safe; does not block.
  bool IsSelfSuspect() const;

  // Refuses new requests from now on; work in flight and waiting work end
  // normally. Thread safe; does not block.
  void BeginShutdown();

 private:
  struct service_entry {
    caf::actor actor;
    std::shared_ptr<service_signals> signals;
    // Set when the service was withdrawn. Its actor stays until work in flight
    // must have ended.
    std::optional<time_point> withdrawn_at;
  };
  using entry_map = std::map<std::string, service_entry, std::less<>>;

  std::shared_ptr<acquire_ticket> Submit(const acquire_request& request,
                                         std::optional<service_entry>& found);
  std::shared_ptr<const entry_map> Entries() const;
  service_entry StartActor(const std::string& service);
  void StopActor(const caf::actor& actor);

  caf::actor_system& system_;
  service_dispatcher_options options_;
  audit_log& audit_;
  metric_registry& metrics_;
  // Replaced as a whole by Apply(), read by all threads.
  std::atomic<std::shared_ptr<const entry_map>> entries_;
  std::shared_ptr<const std::set<std::string>> draining_ips_;
  std::uint64_t actors_started_ = 0;
  // Actors that were told to stop and may not have ended yet.
  std::vector<caf::actor_addr> stopping_;
  std::atomic<bool> is_shutting_down_{false};
};

}  // namespace bulrushshore

#endif  // LIBRARIES_DISPATCH_SERVICE_DISPATCHER_H_

#ifndef LIBRARIES_DISPATCH_SERVICE_ACTOR_H_
#define LIBRARIES_DISPATCH_SERVICE_ACTOR_H_

#include <atomic>
#include <cstdint>
#include <future>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <caf/all.hpp>

#include "libraries/base/clock.h"
#include "libraries/dispatch/dispatch_telemetry.h"
#include "libraries/dispatch/dispatcher.h"
#include "libraries/dispatch/service_controller.h"

namespace bulrushshore {

// An acquire request on its way to the actor and back. The waiting thread and
// the actor share it.
class acquire_ticket {
 public:
  explicit acquire_ticket(acquire_request request);

  // Refuses the request if nothing was delivered, as when the actor stops with
  // the request still in its mailbox.
  ~acquire_ticket();

  acquire_ticket(const acquire_ticket&) = delete;
  acquire_ticket& operator=(const acquire_ticket&) = delete;

  const acquire_request& request() const { return request_; }

  // Returns the future of the outcome. Called once.
  std::future<acquire_outcome> Outcome();

  // Hands the outcome to the waiting thread; returns false if that thread gave
  // up before. Thread safe.
  bool Deliver(const acquire_outcome& outcome);

  // Gives up waiting; returns false if the outcome was delivered before.
  // Thread safe.
  bool Abandon();

 private:
  acquire_request request_;
  std::promise<acquire_outcome> promise_;
  std::atomic<bool> is_closed_{false};
};

// What the actor of a service publishes for other threads.
struct service_signals {
  std::atomic<bool> is_self_suspect{false};
  static constexpr std::int64_t kNeverGranted =
      std::numeric_limits<std::int64_t>::min();

  // Time of the newest grant by the actor system's clock, in ticks of
  // `duration`.
  std::atomic<std::int64_t> last_grant_ticks{kNeverGranted};
};

// Messages of the service actor.
struct acquire_message {
  std::shared_ptr<acquire_ticket> ticket;
};
struct cancel_message {
  std::shared_ptr<acquire_ticket> ticket;
};
struct release_message {
  std::uint64_t grant_id = 0;
  attempt_report report;
};
struct apply_message {
  std::shared_ptr<const catalog_snapshot> snapshot;
};
struct draining_machines_message {
  std::shared_ptr<const std::set<std::string>> ips;
};
struct probe_message {
  std::string target;
  probe_report report;
};
struct release_fingerprint_message {
  std::uint64_t fingerprint = 0;
  std::shared_ptr<std::promise<bool>> was_held;
};
struct losses_message {
  std::uint64_t fingerprint = 0;
  std::vector<std::string> targets;
};
struct status_message {
  std::shared_ptr<std::promise<service_status>> answer;
};
struct wakeup_message {
  time_point at;
};

// Owns the controller of one service. All methods run in the actor.
class service_actor : public caf::event_based_actor {
 public:
  service_actor(caf::actor_config& config,
                std::unique_ptr<service_controller> controller,
                std::unique_ptr<dispatch_telemetry> telemetry,
                std::shared_ptr<service_signals> signals);

 protected:
  caf::behavior make_behavior() override;
  void on_exit() override;

 private:
  using decision_list = std::vector<acquire_decision>;

  time_point Now() const;
  void OnAcquire(const acquire_message& message);
  void OnCancel(const cancel_message& message);
  void OnReleaseFingerprint(const release_fingerprint_message& message);
  void OnLosses(const losses_message& message);
  void OnWakeup(const wakeup_message& message);
  // Hands out decisions, publishes events and asks to be woken up again.
  void Finish(decision_list decisions);
  void PublishEvents();
  void ScheduleWakeup();

  std::unique_ptr<service_controller> controller_;
  std::unique_ptr<dispatch_telemetry> telemetry_;
  std::shared_ptr<service_signals> signals_;
  std::unordered_map<std::uint64_t, std::shared_ptr<acquire_ticket>> tickets_;
  std::unordered_map<const acquire_ticket*, std::uint64_t> ticket_ids_;
  std::uint64_t next_request_id_ = 1;
  std::optional<time_point> wakeup_at_;
};

}  // namespace bulrushshore

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::acquire_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::cancel_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::release_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::apply_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::draining_machines_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::probe_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::release_fingerprint_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::losses_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::status_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::wakeup_message)

#endif  // LIBRARIES_DISPATCH_SERVICE_ACTOR_H_

#ifndef LIBRARIES_GATEWAY_EXCHANGE_H_
#define LIBRARIES_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "libraries/base/clock.h"
#include "libraries/event_loop/http_connection.h"
#include "libraries/gateway/attempt_plan.h"
#include "libraries/gateway/gateway_state.h"
#include "libraries/http/http_message.h"

namespace bulrushshore {

// Handles one request of a caller from its arrival to its response: chooses
// targets, retries failed attempts and keeps to the deadline. All calls and
// callbacks happen on the event loop's thread. Not thread safe.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  using completion = std::function<void(proxy_response)>;

  // Precondition: `state` outlives this object.
  exchange(gateway_state& state,
           proxy_request request,
           time_point arrival,
           completion done);

  // Starts the first attempt. `done` is called once with the response, at the
  // latest at the response deadline and possibly before Start() returns. It is
  // not called if the caller disconnects first.
  // Precondition: called once, on an object held by a shared_ptr.
  void Start();

  // Handles that the caller disconnected: cancels attempts of an idempotent
  // request, lets other attempts end, and starts no new attempt. `done` is not
  // called any more.
  void OnCallerDisconnected();

  bool IsFinished() const { return is_finished_; }
  bool IsIdempotent() const { return route_ && route_->is_idempotent; }

 private:
  struct attempt {
    target_entry target;
    std::shared_ptr<http_connection> connection;
    time_point start_time;
    bool was_reused = false;
    bool is_overdue = false;
    bool is_done = false;
  };

  // Finishes the request with an error and returns false if there are no rules,
  // the Host header is missing or no route matches.
  bool FindRoute();
  void SetDeadlines();
  void SetOverdueTime();
  // Computes the fingerprint of the request. Refuses the request and returns
  // true if the crash guard holds it back.
  bool RefuseIfHeldBack();
  void StartAttempt(std::string_view cause);
  proxy_request BuildTargetRequest(const target_entry& target) const;
  void OnOutcome(const std::shared_ptr<attempt>& ended,
                 exchange_outcome outcome);
  attempt_end OnResponseReceived(const attempt& ended,
                                 received_response received);
  attempt_end OnFailure(const attempt& ended, exchange_failure failure);
  void ReportObservation(const attempt& ended, target_observation observation);
  void PerformStep(next_step step);
  void ArmTimer();
  void OnTimer();
  // Ends the request after an exception; targets may have run it.
  void FailGuarded();
  void OnOverdue(attempt& overdue);
  void CancelAttempts();
  void Refuse(std::string_view reason,
              std::optional<std::chrono::milliseconds> retry_after);
  // Refuses the request because no target took it, and tells the caller when to
  // retry.
  void RefuseWithoutTarget();
  void Finish(proxy_response response,
              std::string_view outcome,
              std::string_view reason);

  gateway_state& state_;
  proxy_request request_;
  time_point arrival_;
  completion done_;
  // Keeps `route_` valid when the rules change.
  std::shared_ptr<const rule_index> rules_;
  const route_rule* route_ = nullptr;
  std::string service_;
  std::string attempt_id_;
  std::uint64_t fingerprint_ = 0;
  // When the target stops working on the request.
  time_point deadline_;
  // The latest time at which the caller must receive a response.
  time_point response_deadline_;
  duration overdue_after_{};
  // Whether the usual duration of the route is known. Only then is an overdue
  // request reported as an observation of its target.
  bool is_duration_known_ = false;
  std::optional<attempt_plan> plan_;
  std::vector<std::shared_ptr<attempt>> attempts_;
  std::vector<std::string> tried_target_ids_;
  std::optional<proxy_response> response_;
  std::optional<proxy_response> error_response_;
  boost::asio::steady_timer timer_;
  bool is_finished_ = false;
  bool is_caller_disconnected_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_EXCHANGE_H_

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

// One request of a caller from its arrival to its answer. All calls and
// callbacks happen on the event loop's thread. Not thread safe.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  using completion = std::function<void(proxy_response)>;

  // Precondition: `state` outlives this object.
  exchange(gateway_state& state,
           proxy_request request,
           time_point arrival,
           completion done);

  // Answers the request, at the latest at its deadline. `done` is called once,
  // possibly before Start() returns, unless the caller leaves.
  // Precondition: called once, on an object held by a shared_ptr.
  void Start();

  // The caller has left: idempotent work at targets is given up, other work is
  // allowed to end, and nothing is sent any more.
  void OnCallerGone();

  bool IsFinished() const { return is_finished_; }
  bool IsIdempotent() const { return route_ && route_->is_idempotent; }

 private:
  struct attempt {
    target_entry target;
    std::shared_ptr<http_connection> connection;
    time_point started;
    bool was_reused = false;
    bool is_overdue = false;
    bool is_done = false;
  };

  bool FindRoute();
  void SetDeadlines();
  void SetOverdueTime();
  bool IsHeldBack();
  void StartAttempt(std::string_view cause);
  proxy_request RequestFor(const target_entry& target) const;
  void OnOutcome(const std::shared_ptr<attempt>& ended,
                 exchange_outcome outcome);
  attempt_end OnAnswer(const attempt& ended, received_response received);
  attempt_end OnFailure(const attempt& ended, exchange_failure failure);
  void ReportObservation(const attempt& ended, target_observation observation);
  void Follow(next_step step);
  void ArmTimer();
  void OnTimer();
  void OnOverdue(attempt& late);
  void CancelAttempts();
  void Refuse(std::string_view reason,
              std::optional<std::chrono::milliseconds> retry_after);
  void Finish(proxy_response response,
              std::string_view outcome,
              std::string_view reason);

  gateway_state& state_;
  proxy_request request_;
  time_point arrival_;
  completion done_;
  // Keeps `route_` alive across changes of the rules.
  std::shared_ptr<const rule_index> rules_;
  const route_rule* route_ = nullptr;
  std::string service_;
  std::string attempt_id_;
  std::uint64_t fingerprint_ = 0;
  // The target stops work then.
  time_point deadline_;
  // The caller is answered then at the latest.
  time_point answer_by_;
  duration overdue_after_{};
  // The usual duration is known, so an overdue request says something about its
  // target.
  bool is_duration_known_ = false;
  std::optional<attempt_plan> plan_;
  std::vector<std::shared_ptr<attempt>> attempts_;
  std::vector<std::string> tried_ids_;
  std::optional<proxy_response> answer_;
  std::optional<proxy_response> error_answer_;
  boost::asio::steady_timer timer_;
  bool is_finished_ = false;
  bool is_caller_gone_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_GATEWAY_EXCHANGE_H_

#ifndef LIBRARIES_PROXY_ATTEMPT_RUNNER_H_
#define LIBRARIES_PROXY_ATTEMPT_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/dispatch/dispatcher.h"
#include "libraries/http/http_message.h"
#include "libraries/proxy/connection_bound.h"
#include "libraries/proxy/outcome.h"
#include "libraries/proxy/target_client.h"

namespace bulrushshore {

struct retry_options {
  std::uint32_t max_attempts = 3;
  // The delay before the first retry is random between half of this and all of
  // it; it doubles with each further one.
  std::chrono::milliseconds base_delay{10};
};

// A request that is ready to be sent to a target of its service.
struct work {
  std::string service;
  std::string kind;
  std::string organisation;
  std::uint64_t fingerprint = 0;
  bool is_idempotent = false;
  time_point deadline;
  // As it goes to the target, without hop-by-hop headers.
  proxy_request message;
  // Ends the work when its caller is gone; may be kNoSocket.
  int caller_socket = kNoSocket;
};

struct work_result {
  // A response of a target, without hop-by-hop and internal headers.
  std::variant<proxy_response, failure_point> outcome =
      failure_point::kNoTarget;
  std::chrono::milliseconds retry_after{1000};
  // Name of the target of the last attempt; empty if there was none.
  std::string target;
  std::uint32_t attempts = 0;
};

// Tells the other hosts that `targets` closed their connections while they ran
// `lost`, which was not answered. May block for a short time.
using crash_reporter =
    std::function<void(const work& lost,
                       const std::vector<std::string>& targets)>;

// Acquires targets for work, sends it and retries it where that is safe:
// idempotent work after every failure, other work only when it provably did
// not start. Thread safe.
class attempt_runner {
 public:
  // `report_crash` may be empty. Preconditions: the references outlive this
  // object.
  attempt_runner(const retry_options& options,
                 dispatcher& targets,
                 target_client& client,
                 connection_bound& bound,
                 const clock& source,
                 crash_reporter report_crash = {});

  // Blocks until the outcome is certain, at most until the deadline.
  work_result Run(const work& given);

 private:
  struct run_state {
    work_result result;
    acquire_request acquire;
    // The last failure after which the work may have started.
    std::optional<failure_point> started_failure;
    // The last complete server error of a target.
    std::optional<proxy_response> server_error;
    // Targets that closed the connection while they may have run the work.
    std::vector<std::string> lost_targets;
  };

  enum class next_step { kDone, kRetry };

  next_step TryOnce(const work& given, run_state& state);
  void OnRefusal(const refusal& refused, run_state& state);
  next_step OnResponse(const work& given,
                       const grant& granted,
                       proxy_response response,
                       attempt_report& report,
                       run_state& state);
  next_step OnFailure(const work& given,
                      const grant& granted,
                      const exchange_result& exchanged,
                      attempt_report& report,
                      run_state& state);
  void ReportCrash(const work& given, const run_state& state) const;
  bool BackOff(const work& given, std::uint32_t attempt);

  const retry_options options_;
  dispatcher& dispatcher_;
  target_client& client_;
  connection_bound& bound_;
  const clock& clock_;
  const crash_reporter report_crash_;
  std::mutex random_mutex_;
  seeded_random random_;
};

// Returns what the dispatcher learns from a failed exchange. Thread safe.
attempt_result AttemptResultOf(failure_point point, bool was_connection_reused);

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_ATTEMPT_RUNNER_H_

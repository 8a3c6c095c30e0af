#ifndef LIBRARIES_DISPATCH_DISPATCHER_H_
#define LIBRARIES_DISPATCH_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/catalog/types.h"

namespace bulrushshore {

// Why a request was not given to a target. It has not run in any of the cases.
enum class refusal_reason {
  kUnknownService,
  kNoTarget,
  kQueueFull,
  // The request waited for its service's patience or until its deadline.
  kQueueTimeout,
  // The deadline cannot be met given the work ahead of the request.
  kDeadlineTooShort,
  kRetryBudgetExhausted,
  // The request crashed targets before and is held back.
  kHeldBack,
  kShuttingDown,
};

// Returns the stable lower-case name of `reason`. Thread safe.
std::string_view RefusalReasonName(refusal_reason reason);

struct acquire_request {
  std::string service;
  // Work kind of the matched route.
  std::string kind;
  std::string organisation;
  // Hash of method, path and body, used to find requests that crash targets.
  std::uint64_t fingerprint = 0;
  time_point deadline;
  // 0 for the first attempt; later attempts are charged to the retry budget.
  std::uint32_t attempt = 0;
  // Names of targets that must not be chosen again for this request.
  std::vector<std::string> excluded_targets;
};

// Permission to send one request to one target.
struct grant {
  std::uint64_t id = 0;
  target chosen;
  // A trial request decides whether an ejected target returns.
  bool is_trial = false;
};

struct refusal {
  refusal_reason reason = refusal_reason::kNoTarget;
  std::chrono::milliseconds retry_after{1000};
};

using acquire_outcome = std::variant<grant, refusal>;

// What a host saw of one attempt.
enum class attempt_result {
  kSuccess,
  // The target answered with a server error (5xx other than a refusal).
  kServerError,
  // The target refused the work before it started it.
  kShed,
  kConnectFailed,
  // A pooled connection failed before a byte of the answer arrived.
  kStaleConnection,
  kTimeout,
  // The connection closed in the middle of the work, as in a crash.
  kConnectionLost,
  kTruncatedAnswer,
  kCancelledByCaller,
};

struct attempt_report {
  attempt_result outcome = attempt_result::kSuccess;
  duration elapsed{};
  // Requests that the target reports as running; absent if it sent none.
  std::optional<std::uint32_t> reported_load;
  // The target says that it is leaving.
  bool is_draining = false;
  // False if the request provably did not reach the target.
  bool may_have_started = true;
};

// Chooses targets for requests and learns from their outcomes.
class dispatcher {
 public:
  virtual ~dispatcher() = default;

  // Waits until a target may take the request, or it is refused. Blocks until
  // `request.deadline` at the longest. Thread safe.
  virtual acquire_outcome Acquire(const acquire_request& request) = 0;

  // Ends a grant. Precondition: called exactly once for each grant. Thread
  // safe; does not block.
  virtual void Release(std::string_view service,
                       std::uint64_t grant_id,
                       const attempt_report& report) = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_DISPATCH_DISPATCHER_H_

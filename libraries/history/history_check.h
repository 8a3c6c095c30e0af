#ifndef LIBRARIES_HISTORY_HISTORY_CHECK_H_
#define LIBRARIES_HISTORY_HISTORY_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/history/operation_history.h"

namespace bulrushshore {

enum class violation_kind {
  // Two executions carried the same idempotency key.
  kKeyRanTwice,
  // Work that must run at most once ran twice, under whatever keys.
  kOperationRanTwice,
  // An attempt or a call was answered "not run", but the work started.
  kNotRunButRan,
  // An attempt or a call was refused, but the work started.
  kRefusedButRan,
  // A response belongs to another request.
  kAnswerSwapped,
  // A response is incomplete or altered.
  kAnswerCut,
  // A response names an execution that no target recorded as completed.
  kAnswerWithoutRun,
  // A call was started and its caller never learnt how it ended.
  kCallLost,
  // A caller was told twice how a call ended, or about a call that it did not
  // start.
  kSurplusCompletion,
  // A target that stopped gracefully left work unfinished.
  kRunCutAtTargetStop,
  // A host that stopped gracefully dropped a request that was sent to it
  // before its process ended.
  kRequestCutAtHostStop,
};

inline constexpr std::size_t kViolationKinds = 11;

// Returns the stable lower-case name of `kind`. Thread safe.
std::string_view ViolationKindName(violation_kind kind);

struct violation {
  violation_kind kind = violation_kind::kKeyRanTwice;
  // The key, operation, request id or run concerned.
  std::string subject;
  std::string detail;
};

struct history_report {
  std::vector<violation> violations;
  std::uint64_t operations = 0;
  std::uint64_t runs = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t refused = 0;
  // Operations that must run at most once, and how many of them ended unknown.
  std::uint64_t non_repeatable = 0;
  std::uint64_t non_repeatable_unknown = 0;

  // Returns the number of violations of this kind. Thread safe.
  std::uint64_t CountOf(violation_kind kind) const;

  // Returns the share of non-repeatable work that ended unknown; 0 without
  // such work. Thread safe.
  double UnknownShare() const;
};

// Finds all violations in `history`. Thread safe.
history_report CheckHistory(const operation_history& history);

}  // namespace bulrushshore

#endif  // LIBRARIES_HISTORY_HISTORY_CHECK_H_

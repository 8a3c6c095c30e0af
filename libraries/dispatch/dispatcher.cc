#include "libraries/dispatch/dispatcher.h"

namespace bulrushshore {

std::string_view RefusalReasonName(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kUnknownService:
      return "unknown_service";
    case refusal_reason::kNoTarget:
      return "no_target";
    case refusal_reason::kQueueFull:
      return "queue_full";
    case refusal_reason::kQueueTimeout:
      return "queue_timeout";
    case refusal_reason::kDeadlineTooShort:
      return "deadline_too_short";
    case refusal_reason::kRetryBudgetExhausted:
      return "retry_budget_exhausted";
    case refusal_reason::kHeldBack:
      return "held_back";
    case refusal_reason::kShuttingDown:
      return "shutting_down";
  }
  return "unknown";
}

}  // namespace bulrushshore

#include "services/edge_daemon/leave_schedule.h"

namespace bulrushshore {

leave_phase PhaseOfLeaving(duration elapsed,
                           std::size_t unanswered,
                           const leave_options& options) {
  if (elapsed >= options.grace - options.margin) {
    return leave_phase::kEnded;
  }
  if (elapsed < options.caller_memory) {
    return leave_phase::kServing;
  }
  return unanswered == 0 ? leave_phase::kEnded : leave_phase::kRefusing;
}

}  // namespace bulrushshore

#include "services/edge_daemon/leave_schedule.h"

namespace bulrushshore {

leave_phase LeavePhaseAt(duration elapsed,
                         std::size_t requests_in_flight,
                         const leave_options& options) {
  if (elapsed >= options.grace - options.margin) {
    return leave_phase::kEnded;
  }
  if (elapsed < options.caller_list_lifetime) {
    return leave_phase::kServing;
  }
  return requests_in_flight == 0 ? leave_phase::kEnded : leave_phase::kRefusing;
}

}  // namespace bulrushshore

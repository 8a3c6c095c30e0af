#include <array>
#include <optional>
#include <string_view>

#include "tests/idempotency/ownership_step.h"
#include "tests/idempotency/ownership_world.h"

namespace bulrushshore {
namespace {

using type = ownership_event_type;

constexpr std::array<std::string_view, 24> kEventNames = {
    "caller sends request {} to host <>",
    "request {} arrives",
    "request {} arrives during a store outage",
    "request {} arrives, the store's reply is lost",
    "request {} arrives, the write of its claim is lost",
    "request {} arrives, request <> claims the key first",
    "request {} is lost",
    "request {} is forwarded to host <>",
    "request {} finds no owner",
    "the forwarding host gives up request {}",
    "request {} is sent to a target",
    "request {} ends before it is sent to a target",
    "the target starts request {}",
    "the target's answer to request {} arrives",
    "the target's answer to request {} is lost",
    "process {} crashes",
    "host {} restarts",
    "process {} stops gracefully, successor at host <>",
    "process {} exits",
    "key table {} arrives",
    "key table {} arrives and is sent again",
    "key table {} is lost",
    "process {} pauses",
    "process {} resumes"};

void Replace(std::string& text, std::string_view mark, std::size_t number) {
  const std::size_t position = text.find(mark);
  if (position != std::string::npos) {
    text.replace(position, mark.size(), std::to_string(number));
  }
}

bool CanAct(const explored_process& process) {
  return !process.is_gone && !process.is_paused;
}

// Requests with the same key are alike, so they are sent in their order.
bool IsNextOfItsKey(const ownership_scenario& scenario,
                    const ownership_state& state,
                    std::size_t request) {
  for (std::size_t earlier = 0; earlier < request; ++earlier) {
    if (scenario.requests[earlier] == scenario.requests[request] &&
        state.requests[earlier].stage == request_stage::kUnsent) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string DescribeEvent(const ownership_event& event) {
  std::string text(kEventNames.at(static_cast<std::size_t>(event.type)));
  Replace(text, "{}", event.subject);
  Replace(text, "<>", event.object);
  return text;
}

std::optional<std::size_t> ProcessAtHost(const ownership_state& state,
                                         std::size_t host) {
  for (std::size_t index = state.processes.size(); index-- > 0;) {
    if (state.processes[index].host == host) {
      return state.processes[index].is_gone ? std::nullopt
                                            : std::optional(index);
    }
  }
  return std::nullopt;
}

std::vector<ownership_event> ownership_world::EnabledEvents(
    const ownership_state& state) const {
  std::vector<ownership_event> events;
  for (std::size_t index = 0; index < state.requests.size(); ++index) {
    AddRequestEvents(state, index, events);
  }
  for (std::size_t index = 0; index < state.processes.size(); ++index) {
    AddProcessEvents(state, index, events);
  }
  for (std::size_t host = 0; host < scenario_.hosts; ++host) {
    AddHostEvents(state, host, events);
  }
  for (std::size_t index = 0; index < state.transfers.size(); ++index) {
    AddTransferEvents(state, index, events);
  }
  return events;
}

void ownership_world::AddRequestEvents(
    const ownership_state& state,
    std::size_t request,
    std::vector<ownership_event>& events) const {
  const explored_request& current = state.requests[request];
  if (current.stage == request_stage::kUnsent) {
    for (std::size_t host = 0; host < scenario_.hosts; ++host) {
      if (IsNextOfItsKey(scenario_, state, request)) {
        events.push_back({type::kSend, request, host});
      }
    }
    return;
  }
  if (current.stage == request_stage::kTravelling) {
    AddArrivalEvents(state, request, events);
  }
  AddAttemptEvents(state, request, events);
  const bool can_give_up = current.stage != request_stage::kDone &&
                           current.is_forwarded && current.has_caller &&
                           CanAct(state.processes[current.origin]);
  if (can_give_up) {
    events.push_back({type::kForwardTimeout, request, 0});
  }
}

void ownership_world::AddArrivalEvents(
    const ownership_state& state,
    std::size_t request,
    std::vector<ownership_event>& events) const {
  events.push_back({type::kLose, request, 0});
  const std::optional<std::size_t> process =
      ProcessAtHost(state, state.requests[request].host);
  if (!process.has_value() || state.processes[*process].is_paused) {
    return;
  }
  events.push_back({type::kArrive, request, 0});
  if (!scenario_.keys[scenario_.requests[request]].is_foreign) {
    return;
  }
  events.push_back({type::kArriveInOutage, request, 0});
  if (state.claim_object.has_value()) {
    return;
  }
  events.push_back({type::kArriveWithLostReply, request, 0});
  events.push_back({type::kArriveWithLostWrite, request, 0});
  for (std::size_t other = 0; other < state.requests.size(); ++other) {
    const std::optional<std::size_t> its_process =
        ProcessAtHost(state, state.requests[other].host);
    const bool can_race =
        other != request &&
        state.requests[other].stage == request_stage::kTravelling &&
        scenario_.requests[other] == scenario_.requests[request] &&
        its_process.has_value() && CanAct(state.processes[*its_process]);
    if (can_race) {
      events.push_back({type::kArriveAndLoseRace, request, other});
    }
  }
}

void ownership_world::AddAttemptEvents(
    const ownership_state& state,
    std::size_t request,
    std::vector<ownership_event>& events) const {
  const explored_request& current = state.requests[request];
  if (current.target == target_stage::kArriving) {
    events.push_back({type::kTargetStarts, request, 0});
  }
  if (!CanAct(state.processes[current.process])) {
    return;
  }
  if (current.stage == request_stage::kLooksForOwner) {
    events.push_back({type::kFindNoOwner, request, 0});
    const std::size_t incarnation = OwningProcess(scenario_, state, request);
    for (std::size_t host = 0; host < scenario_.hosts; ++host) {
      const bool can_forward = state.announced[incarnation][host] &&
                               host != state.processes[current.process].host;
      if (can_forward) {
        events.push_back({type::kForward, request, host});
      }
    }
  } else if (current.stage == request_stage::kAllowed) {
    events.push_back({type::kSendToTarget, request, 0});
    events.push_back({type::kEndBeforeSending, request, 0});
  } else if (current.stage == request_stage::kSent) {
    events.push_back({type::kTargetAnswerLost, request, 0});
    if (current.target == target_stage::kStarted) {
      events.push_back({type::kTargetAnswers, request, 0});
    }
  }
}

void ownership_world::AddProcessEvents(
    const ownership_state& state,
    std::size_t process,
    std::vector<ownership_event>& events) const {
  const explored_process& current = state.processes[process];
  if (current.is_gone) {
    return;
  }
  if (state.crashes < scenario_.max_crashes) {
    events.push_back({type::kCrash, process, 0});
  }
  if (current.is_paused) {
    events.push_back({type::kResume, process, 0});
    return;
  }
  if (state.pauses < scenario_.max_pauses) {
    events.push_back({type::kPause, process, 0});
  }
  if (current.is_leaving) {
    events.push_back({type::kExit, process, 0});
    return;
  }
  if (state.graceful_stops >= scenario_.max_graceful_stops) {
    return;
  }
  for (std::size_t host = 0; host < scenario_.hosts; ++host) {
    const std::optional<std::size_t> successor = ProcessAtHost(state, host);
    const bool is_eligible = host != current.host && successor.has_value() &&
                             !state.processes[*successor].is_leaving;
    if (is_eligible) {
      events.push_back({type::kStopGracefully, process, host});
    }
  }
}

void ownership_world::AddHostEvents(
    const ownership_state& state,
    std::size_t host,
    std::vector<ownership_event>& events) const {
  if (state.restarts < scenario_.max_restarts &&
      !ProcessAtHost(state, host).has_value()) {
    events.push_back({type::kRestart, host, 0});
  }
}

void ownership_world::AddTransferEvents(
    const ownership_state& state,
    std::size_t transfer,
    std::vector<ownership_event>& events) const {
  events.push_back({type::kLoseHandover, transfer, 0});
  const std::optional<std::size_t> receiver =
      ProcessAtHost(state, state.transfers[transfer].host);
  if (!receiver.has_value() || state.processes[*receiver].is_paused) {
    return;
  }
  events.push_back({type::kDeliverHandover, transfer, 0});
  if (state.copied_handovers < scenario_.max_copied_handovers) {
    events.push_back({type::kDeliverHandoverCopy, transfer, 0});
  }
}

}  // namespace bulrushshore

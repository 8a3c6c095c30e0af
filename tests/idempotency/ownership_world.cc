#include "tests/idempotency/ownership_world.h"

#include "tests/idempotency/ownership_step.h"

namespace bulrushshore {

ownership_world::ownership_world(const ownership_scenario& scenario)
    : scenario_(scenario) {}

ownership_state ownership_world::InitialState() const {
  ownership_state state;
  state.requests.resize(scenario_.requests.size());
  state.starts.resize(scenario_.keys.size());
  state.first_answers.resize(scenario_.keys.size());
  for (std::size_t host = 0; host < scenario_.hosts; ++host) {
    step(scenario_, state).StartProcess(host);
  }
  return state;
}

void ownership_world::Apply(ownership_state& state,
                            const ownership_event& event) const {
  step(scenario_, state).Apply(event);
}

}  // namespace bulrushshore

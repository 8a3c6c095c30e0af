#include "tests/idempotency/ownership_explorer.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "tests/idempotency/ownership_world.h"

namespace bulrushshore {
namespace {

// How a state was first reached.
struct reached_state {
  std::size_t parent = 0;
  ownership_event event;
};

struct frontier_state {
  std::size_t index = 0;
  ownership_state state;
};

class breadth_first_search {
 public:
  explicit breadth_first_search(const ownership_scenario& scenario)
      : scenario_(scenario), world_(scenario) {}

  exploration_report Run() {
    ownership_state initial = world_.InitialState();
    signatures_.insert(initial.Signature());
    ways_.emplace_back();
    std::vector<frontier_state> frontier;
    frontier.push_back({0, std::move(initial)});
    while (!frontier.empty() && report_.violation.empty()) {
      if (report_.depth == scenario_.max_depth) {
        break;
      }
      frontier = NextLevel(frontier);
      report_.depth += frontier.empty() ? 0 : 1;
    }
    report_.is_complete = frontier.empty();
    report_.states = signatures_.size();
    return report_;
  }

 private:
  std::vector<frontier_state> NextLevel(
      const std::vector<frontier_state>& frontier) {
    std::vector<frontier_state> next;
    for (const frontier_state& from : frontier) {
      const std::vector<ownership_event> events =
          world_.EnabledEvents(from.state);
      for (const ownership_event& event : events) {
        Visit(from, event, next);
        if (!report_.violation.empty()) {
          return next;
        }
      }
    }
    return next;
  }

  void Visit(const frontier_state& from,
             const ownership_event& event,
             std::vector<frontier_state>& next) {
    ownership_state state = from.state;
    world_.Apply(state, event);
    ++report_.transitions;
    if (!signatures_.insert(state.Signature()).second) {
      return;
    }
    ways_.push_back({from.index, event});
    if (!state.violation.empty()) {
      report_.violation = state.violation;
      report_.counterexample = WayTo(ways_.size() - 1);
      return;
    }
    next.push_back({ways_.size() - 1, std::move(state)});
  }

  std::vector<std::string> WayTo(std::size_t index) const {
    std::vector<std::string> way;
    for (; index != 0; index = ways_[index].parent) {
      way.push_back(DescribeEvent(ways_[index].event));
    }
    std::reverse(way.begin(), way.end());
    return way;
  }

  const ownership_scenario& scenario_;
  const ownership_world world_;
  std::unordered_set<std::string> signatures_;
  // The way to each state; the first one is the initial state.
  std::vector<reached_state> ways_;
  exploration_report report_;
};

}  // namespace

exploration_report ExploreOwnership(const ownership_scenario& scenario) {
  return breadth_first_search(scenario).Run();
}

}  // namespace bulrushshore

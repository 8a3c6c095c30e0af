#ifndef TESTS_IDEMPOTENCY_OWNERSHIP_EXPLORER_H_
#define TESTS_IDEMPOTENCY_OWNERSHIP_EXPLORER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "tests/idempotency/ownership_state.h"

namespace bulrushshore {

struct exploration_report {
  // Different states that were reached.
  std::size_t states = 0;
  // Events that were applied.
  std::size_t transitions = 0;
  // Events on the longest shortest way to a state.
  std::size_t depth = 0;
  // True if no state was left out because of the bound on the depth.
  bool is_complete = false;
  // The violated invariant and a shortest order of events that leads to it;
  // both empty if none was found.
  std::string violation;
  std::vector<std::string> counterexample;
};

// Explores all orders of events of `scenario` breadth first, up to its depth or
// to the first violation. States with equal signatures are visited once.
// Thread safe.
exploration_report ExploreOwnership(const ownership_scenario& scenario);

}  // namespace bulrushshore

#endif  // TESTS_IDEMPOTENCY_OWNERSHIP_EXPLORER_H_

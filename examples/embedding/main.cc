// Chooses a target for each of eight requests with the selection policy of the
// fleet, in a program of its own.

#include <array>
#include <iostream>
#include <memory>
#include <optional>

#include "libraries/balancing/target_selector.h"
#include "libraries/base/random_source.h"
#include "libraries/base/result.h"

int main() {
  const bulrushshore::result<std::unique_ptr<bulrushshore::target_selector>>
      made = bulrushshore::MakeTargetSelector("two_choices");
  if (!bulrushshore::IsOk(made)) {
    std::cerr << bulrushshore::ErrorOf(made).message << "\n";
    return 1;
  }
  bulrushshore::target_selector& selector = *bulrushshore::ValueOf(made);
  bulrushshore::seeded_random random(1);
  std::array<bulrushshore::target_load, 3> targets;
  for (bulrushshore::target_load& target : targets) {
    target.slots = 6;
  }
  constexpr int kRequests = 8;
  for (int request = 0; request < kRequests; ++request) {
    const std::optional<std::size_t> chosen = selector.Choose(targets, random);
    if (!chosen.has_value()) {
      std::cerr << "no target\n";
      return 1;
    }
    ++targets.at(*chosen).in_flight;
    std::cout << "request " << request << " goes to target " << *chosen << "\n";
  }
  return 0;
}

#ifndef LIBRARIES_MEMBERSHIP_FAILURE_CHECKS_H_
#define LIBRARIES_MEMBERSHIP_FAILURE_CHECKS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Collects what other hosts find out about hosts that do not answer this one.
// A host counts as silent once enough of the asked ones cannot reach it either,
// so that a broken link or an isolated asker marks nobody. Not thread safe.
class failure_checks {
 public:
  // Starts a check of the host `id` through `helpers` other hosts, and returns
  // true unless one is under way. Precondition: `helpers` > 0.
  bool Begin(std::string_view id, std::size_t helpers, time_point now);

  // Notes a helper's answer. Returns true if the host counts as silent now.
  bool OnAnswer(std::string_view id, bool is_reachable);

  // Drops checks that did not end in time.
  void Expire(time_point now);

 private:
  struct check {
    time_point started;
    // Number of helpers that still have to report the host unreachable.
    std::size_t missing = 0;
  };

  std::map<std::string, check, std::less<>> checks_;
};

// Returns how many of `helpers` asked hosts must confirm. Thread safe.
std::size_t RequiredConfirmations(std::size_t helpers);

inline constexpr std::size_t kHelpersPerCheck = 3;

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_FAILURE_CHECKS_H_

#ifndef LIBRARIES_DISPATCH_TARGET_CHOOSER_H_
#define LIBRARIES_DISPATCH_TARGET_CHOOSER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/balancing/target_selector.h"
#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/dispatch/dispatcher.h"
#include "libraries/dispatch/target_table.h"
#include "libraries/health/outlier_detector.h"

namespace bulrushshore {

// How long and short work share a target at the moment.
struct work_class {
  bool is_long = false;
  // Long work may run in less than half of a target's slots.
  bool is_limited = false;
};

// The target that takes a request; null if none may.
struct target_choice {
  target_entry* entry = nullptr;
  bool is_trial = false;
};

// Chooses among the targets of one service that may take a request. Not thread
// safe.
class target_chooser {
 public:
  // Precondition: `selector` is known to MakeTargetSelector().
  target_chooser(std::string_view selector,
                 std::string local_zone,
                 std::unique_ptr<random_source> random);

  // Chooses a target: first one that waits for a trial request, else one in
  // use by its load. The result points into `targets`.
  target_choice Choose(const acquire_request& request,
                       const work_class& work,
                       target_table& targets,
                       const outlier_detector& detector,
                       time_point now);

 private:
  target_entry* FindTrial(const acquire_request& request,
                          target_table& targets,
                          const outlier_detector& detector,
                          time_point now) const;

  std::string local_zone_;
  std::unique_ptr<random_source> random_;
  std::unique_ptr<target_selector> selector_;
  // Reused between calls, because a choice is made for each request.
  std::vector<target_load> loads_;
  std::vector<target_entry*> candidates_;
};

// Returns true if the request must not run on the target again. Thread safe.
bool IsExcluded(const acquire_request& request, std::string_view target);

}  // namespace bulrushshore

#endif  // LIBRARIES_DISPATCH_TARGET_CHOOSER_H_

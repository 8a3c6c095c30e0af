#ifndef LIBRARIES_PLACEMENT_OUTCOME_METER_H_
#define LIBRARIES_PLACEMENT_OUTCOME_METER_H_

#include "libraries/base/clock.h"

namespace bulrushshore {

struct outcome_meter_options {
  // The weight of a request decays to 1/e in this time.
  duration time_constant = std::chrono::seconds(3);
  // Below this decayed number of requests the share is reported as 0.
  double minimum_requests = 12.0;
};

// Measures which share of a service's recent requests was not served, as an
// exponentially decaying average. Never reads a clock. Not thread safe.
class outcome_meter {
 public:
  explicit outcome_meter(const outcome_meter_options& options = {});

  void Record(bool is_served, time_point now);

  // Returns a share from 0 to 1, or 0 if there are too few recent requests.
  double UnservedShare(time_point now) const;

 private:
  double DecayFactor(time_point now) const;

  outcome_meter_options options_;
  double requests_ = 0.0;
  double unserved_ = 0.0;
  time_point updated_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PLACEMENT_OUTCOME_METER_H_

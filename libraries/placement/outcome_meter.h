#ifndef LIBRARIES_PLACEMENT_OUTCOME_METER_H_
#define LIBRARIES_PLACEMENT_OUTCOME_METER_H_

#include "libraries/base/clock.h"

namespace bulrushshore {

struct outcome_meter_options {
  // A request counts for 1/e of its value after this time.
  duration time_constant = std::chrono::seconds(3);
  // Fewer recent requests than this say nothing.
  double minimum_requests = 12.0;
};

// The share of a service's recent requests that were not served. It never reads
// a clock. Not thread safe.
class outcome_meter {
 public:
  explicit outcome_meter(const outcome_meter_options& options = {});

  void Record(bool is_served, time_point now);

  // Returns a share from 0 to 1; 0 without enough requests.
  double UnservedShare(time_point now) const;

 private:
  double Fading(time_point now) const;

  outcome_meter_options options_;
  double requests_ = 0.0;
  double unserved_ = 0.0;
  time_point updated_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PLACEMENT_OUTCOME_METER_H_

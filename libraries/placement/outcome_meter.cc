#include "libraries/placement/outcome_meter.h"

#include <algorithm>
#include <cmath>

namespace bulrushshore {

outcome_meter::outcome_meter(const outcome_meter_options& options)
    : options_(options) {}

void outcome_meter::Record(bool is_served, time_point now) {
  const double decay = DecayFactor(now);
  requests_ = requests_ * decay + 1.0;
  unserved_ = unserved_ * decay + (is_served ? 0.0 : 1.0);
  updated_ = now;
}

double outcome_meter::UnservedShare(time_point now) const {
  if (requests_ * DecayFactor(now) < options_.minimum_requests) {
    return 0.0;
  }
  return unserved_ / requests_;
}

double outcome_meter::DecayFactor(time_point now) const {
  const double elapsed = std::chrono::duration<double>(now - updated_) /
                         std::chrono::duration<double>(options_.time_constant);
  return std::exp(-std::max(0.0, elapsed));
}

}  // namespace bulrushshore

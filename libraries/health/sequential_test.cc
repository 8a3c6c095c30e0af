#include "libraries/health/sequential_test.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bulrushshore {

sequential_test::sequential_test(double maximum) : maximum_(maximum) {
  assert(maximum > 0.0);
}

void sequential_test::Observe(bool has_event,
                              double expected_share,
                              double faulty_share,
                              double weight) {
  assert(expected_share > 0.0 && expected_share < faulty_share &&
         faulty_share < 1.0);
  const double step =
      has_event ? std::log(faulty_share / expected_share)
                : std::log((1.0 - faulty_share) / (1.0 - expected_share));
  Set(score_ + weight * step);
}

void sequential_test::Set(double score) {
  score_ = std::clamp(score, 0.0, maximum_);
}

}  // namespace bulrushshore

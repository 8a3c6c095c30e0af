#include "libraries/admission/concurrency_limit.h"

#include <algorithm>
#include <cassert>

namespace bulrushshore {

concurrency_limit::concurrency_limit(std::uint32_t maximum,
                                     const concurrency_limit_options& options)
    : options_(options),
      maximum_(maximum),
      limit_(maximum),
      last_shed_level_(maximum + 1.0),
      pause_(options.initial_pause) {
  assert(maximum > 0);
}

void concurrency_limit::SetMaximum(std::uint32_t maximum) {
  assert(maximum > 0);
  if (maximum_ == maximum) {
    return;
  }
  maximum_ = maximum;
  limit_ = maximum;
  last_shed_level_ = maximum + 1.0;
}

bool concurrency_limit::Allows(std::uint32_t in_flight, time_point now) const {
  return in_flight + 1.0 <= limit_ && now >= paused_until_;
}

void concurrency_limit::RecordCompleted(std::uint32_t in_flight) {
  pause_ = options_.initial_pause;
  if (in_flight + 1.0 <= limit_) {
    // A limit that is not fully used does not show whether the target can serve
    // more.
    return;
  }
  const bool is_near_shed_level =
      limit_ > last_shed_level_ - 1.0 && limit_ < last_shed_level_;
  const double step = is_near_shed_level ? options_.reduced_step_factor : 1.0;
  limit_ = std::min(maximum_, limit_ + step / limit_);
}

void concurrency_limit::RecordShed(std::uint32_t in_flight, time_point now) {
  if (!options_.is_enabled) {
    return;
  }
  if (in_flight <= 1) {
    paused_until_ = now + pause_;
    pause_ = std::min(2 * pause_, options_.maximum_pause);
  }
  if (last_decrease_ && now - *last_decrease_ < options_.decrease_interval) {
    return;
  }
  last_decrease_ = now;
  last_shed_level_ = std::max<double>(1.0, in_flight);
  limit_ = std::max(
      1.0, std::min(limit_, last_shed_level_) * options_.decrease_factor);
}

std::optional<time_point> concurrency_limit::PausedUntil(time_point now) const {
  return paused_until_ > now ? std::optional<time_point>(paused_until_)
                             : std::nullopt;
}

}  // namespace bulrushshore

#ifndef LIBRARIES_EVENT_LOOP_LOOP_CLOCK_H_
#define LIBRARIES_EVENT_LOOP_LOOP_CLOCK_H_

#include <boost/asio/steady_timer.hpp>

#include "libraries/base/clock.h"

namespace bulrushshore {

// The clock that the timers of the event loop follow.
class loop_clock : public clock {
 public:
  // Thread safe.
  time_point Now() const override {
    return boost::asio::steady_timer::clock_type::now();
  }
};

}  // namespace bulrushshore

#endif  // LIBRARIES_EVENT_LOOP_LOOP_CLOCK_H_

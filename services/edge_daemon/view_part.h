#ifndef SERVICES_EDGE_DAEMON_VIEW_PART_H_
#define SERVICES_EDGE_DAEMON_VIEW_PART_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "libraries/base/clock.h"

namespace bulrushshore {

// The values of a view part are either digests, or versions that only grow.
enum class view_value_type { kDigest, kVersion };

// Tracks how old one part of a host's view of the store may be: its version of
// the rules or its list of targets. The part is identified by a value. It is
// confirmed as of a time if it includes every change that the store had
// acknowledged by then. A read of the store confirms it, and so does any host
// that had the same value as of that time. Never reads a clock. Not thread
// safe.
class view_part {
 public:
  // `start` counts as the time of the first confirmation.
  view_part(view_value_type type, time_point start);

  // Sets the value that this host has.
  void SetOwn(std::uint64_t value);

  // Records that this host has read the store, whose state as of `as_of` is
  // included in the present value. `is_complete_list` states that all objects
  // were read, not only changes.
  void OnRead(time_point as_of, bool is_complete_list);

  // Records that another host had `value` as of `as_of`.
  void OnHeard(std::uint64_t value, time_point as_of);

  // Returns the latest time as of which the present value is confirmed.
  time_point confirmed_at() const { return confirmed_at_; }

  std::uint64_t own() const { return own_; }

 private:
  struct heard_value {
    std::uint64_t value = 0;
    time_point first_as_of;
    time_point last_as_of;
  };

  // Returns true if a host with the value `heard` confirms this host's value.
  bool IsConfirmedBy(std::uint64_t heard) const;
  void Confirm(time_point as_of);

  view_value_type type_;
  std::uint64_t own_ = 0;
  time_point confirmed_at_;
  // The last values of other hosts, the latest at the end.
  std::deque<heard_value> heard_;
  // When the present value was confirmed by a list of all objects.
  std::optional<time_point> listed_at_;
  // Value of other hosts that describes the same state of the store as the
  // present one. Hosts that met different changes may compute different
  // digests of the same state, and would otherwise read the store for ever.
  std::optional<std::uint64_t> equivalent_;
};

}  // namespace bulrushshore

#endif  // SERVICES_EDGE_DAEMON_VIEW_PART_H_

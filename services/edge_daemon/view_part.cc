#include "services/edge_daemon/view_part.h"

#include <algorithm>

namespace bulrushshore {
namespace {

// Number of values of other hosts that are kept. While values change quickly, a
// host reaches a value when the others already have the next one.
constexpr std::size_t kMaxHeardValues = 16;

}  // namespace

view_part::view_part(view_value_type type, time_point start)
    : type_(type), confirmed_at_(start) {}

void view_part::SetOwn(std::uint64_t value) {
  if (value == own_) {
    return;
  }
  own_ = value;
  listed_at_.reset();
  equivalent_.reset();
  for (const heard_value& heard : heard_) {
    if (IsConfirmedBy(heard.value)) {
      Confirm(heard.last_as_of);
    }
  }
}

void view_part::OnRead(time_point as_of, bool is_complete_list) {
  Confirm(as_of);
  if (is_complete_list) {
    listed_at_ = as_of;
  }
}

void view_part::OnHeard(std::uint64_t value, time_point as_of) {
  if (heard_.empty() || heard_.back().value != value) {
    heard_.push_back({value, as_of, as_of});
    if (heard_.size() > kMaxHeardValues) {
      heard_.pop_front();
    }
  }
  heard_value& latest = heard_.back();
  latest.last_as_of = std::max(latest.last_as_of, as_of);
  if (listed_at_ && latest.first_as_of <= *listed_at_ &&
      *listed_at_ <= latest.last_as_of) {
    // The store's state at the time of the list had both values.
    equivalent_ = value;
  }
  if (IsConfirmedBy(value)) {
    Confirm(as_of);
  }
}

bool view_part::IsConfirmedBy(std::uint64_t heard) const {
  if (heard == own_ || heard == equivalent_) {
    return true;
  }
  return type_ == view_value_type::kVersion && own_ > heard;
}

void view_part::Confirm(time_point as_of) {
  confirmed_at_ = std::max(confirmed_at_, as_of);
}

}  // namespace bulrushshore

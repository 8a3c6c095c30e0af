#include "libraries/dispatch/target_table.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

constexpr duration kDrainingSignalTime = std::chrono::minutes(5);

}  // namespace

target_table::target_table(const concurrency_limit_options& options)
    : options_(options) {}

void target_table::Apply(const catalog_contents& contents,
                         std::string_view service) {
  entry_map previous = std::exchange(entries_, {});
  const std::string prefix = std::string(service) + "/";
  for (auto position = contents.targets.lower_bound(prefix);
       position != contents.targets.end() &&
       position->first.compare(0, prefix.size(), prefix) == 0;
       ++position) {
    const target& registered = position->second;
    const std::uint32_t slots = std::max<std::uint32_t>(1, registered.slots);
    const auto known = previous.find(registered.name);
    if (known == previous.end() ||
        known->second.registered.address != registered.address) {
      target_entry added{registered,
                         next_generation_++,
                         0,
                         0,
                         false,
                         0,
                         concurrency_limit(slots, options_),
                         std::nullopt};
      entries_.emplace(registered.name, std::move(added));
      continue;
    }
    target_entry kept = std::move(known->second);
    kept.registered = registered;
    kept.limit.SetMaximum(slots);
    entries_.emplace(registered.name, std::move(kept));
  }
}

void target_table::SetDrainingMachines(const std::set<std::string>& ips) {
  draining_ips_ = ips;
}

bool target_table::SetDrainingSignal(std::string_view name,
                                     bool is_draining,
                                     time_point now) {
  target_entry* const entry = Find(name);
  if (entry == nullptr) {
    return false;
  }
  const bool was_draining = entry->draining_signal_until.has_value();
  entry->draining_signal_until.reset();
  if (is_draining) {
    entry->draining_signal_until = now + kDrainingSignalTime;
  }
  return was_draining != is_draining;
}

bool target_table::ExpireDrainingSignals(time_point now) {
  bool has_changed = false;
  for (entry_map::value_type& entry : entries_) {
    std::optional<time_point>& until = entry.second.draining_signal_until;
    if (until && *until <= now) {
      until.reset();
      has_changed = true;
    }
  }
  return has_changed;
}

std::optional<time_point> target_table::NextSignalExpiry() const {
  std::optional<time_point> next;
  for (const entry_map::value_type& entry : entries_) {
    const std::optional<time_point>& until = entry.second.draining_signal_until;
    if (until && (!next || *until < *next)) {
      next = until;
    }
  }
  return next;
}

std::vector<monitored_target> target_table::Monitored() const {
  std::vector<monitored_target> monitored;
  monitored.reserve(entries_.size());
  for (const entry_map::value_type& entry : entries_) {
    const target& registered = entry.second.registered;
    const bool is_draining = registered.state == target_state::kDraining ||
                             entry.second.draining_signal_until.has_value() ||
                             draining_ips_.contains(registered.address.ip);
    monitored.push_back({registered.name,
                         std::max<std::uint32_t>(1, registered.slots),
                         is_draining, entry.second.generation});
  }
  return monitored;
}

target_entry* target_table::Find(std::string_view name) {
  const auto position = entries_.find(name);
  return position == entries_.end() ? nullptr : &position->second;
}

}  // namespace bulrushshore

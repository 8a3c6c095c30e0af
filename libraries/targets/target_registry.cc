#include "libraries/targets/target_registry.h"

#include <algorithm>
#include <set>
#include <utility>

#include <xxhash.h>

namespace bulrushshore {
namespace {

// Maximum number of removed targets whose last start time is kept.
constexpr std::size_t kMaxRemovedIds = 20'000;

}  // namespace

std::string_view TargetChangeTypeName(target_change_type type) {
  switch (type) {
    case target_change_type::kAdded:
      return "added";
    case target_change_type::kChanged:
      return "changed";
    case target_change_type::kDraining:
      return "draining";
    case target_change_type::kRemoved:
      return "removed";
    case target_change_type::kHeld:
      return "held";
    case target_change_type::kOutdated:
      return "outdated";
  }
  return "unknown";
}

target_registry::target_registry(const target_registry_options& options)
    : options_(options) {}

target_change target_registry::Apply(const target_entry& entry,
                                     time_point now) {
  const auto departed = departed_.find(entry.id);
  if (departed != departed_.end() &&
      entry.started_at_unix_ms < departed->second.started_at_unix_ms) {
    return {target_change_type::kOutdated, entry.id, entry.service};
  }
  digest_.reset();
  const auto found = records_.find(entry.id);
  if (found == records_.end()) {
    record added;
    added.entry = entry;
    added.incarnation = next_incarnation_++;
    added.warm_until = now + entry.warm_up_left;
    added.is_leaving =
        departed != departed_.end() && departed->second.was_leaving &&
        departed->second.started_at_unix_ms == entry.started_at_unix_ms &&
        departed->second.address == entry.address;
    records_.emplace(entry.id, std::move(added));
    Rebuild(entry.service);
    return {entry.is_draining ? target_change_type::kDraining
                              : target_change_type::kAdded,
            entry.id, entry.service};
  }
  record& known = found->second;
  const bool is_older =
      entry.started_at_unix_ms < known.entry.started_at_unix_ms ||
      (entry.started_at_unix_ms == known.entry.started_at_unix_ms &&
       entry.started_at_unix_ms != 0 && entry.sequence < known.entry.sequence);
  if (is_older) {
    return {target_change_type::kOutdated, entry.id, entry.service};
  }
  const std::string old_service = known.entry.service;
  const bool is_new_incarnation =
      entry.started_at_unix_ms != known.entry.started_at_unix_ms ||
      entry.address != known.entry.address;
  const bool starts_draining = entry.is_draining && !known.entry.is_draining;
  if (is_new_incarnation) {
    known.incarnation = next_incarnation_++;
    known.is_disowned = false;
    known.is_leaving = false;
  }
  known.entry = entry;
  known.warm_until = now + entry.warm_up_left;
  known.held_until.reset();
  Rebuild(old_service);
  if (old_service != entry.service) {
    Rebuild(entry.service);
  }
  return {starts_draining ? target_change_type::kDraining
                          : target_change_type::kChanged,
          entry.id, entry.service};
}

std::optional<target_change> target_registry::Remove(std::string_view id,
                                                     time_point now) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return std::nullopt;
  }
  record& known = found->second;
  if (IsRestoring(now) && !known.entry.is_draining) {
    known.held_until = *restoring_until_;
    digest_.reset();
    return target_change{target_change_type::kHeld, std::string(id),
                         known.entry.service};
  }
  return Erase(found);
}

std::vector<target_change> target_registry::Replace(
    std::span<const target_entry> entries,
    time_point now) {
  std::vector<target_change> changes;
  std::set<std::string, std::less<>> listed;
  for (const target_entry& entry : entries) {
    listed.insert(entry.id);
    const auto known = records_.find(entry.id);
    if (known != records_.end() && known->second.entry == entry &&
        !known->second.held_until) {
      continue;
    }
    changes.push_back(Apply(entry, now));
  }
  missing_map missing;
  for (const record_map::value_type& item : records_) {
    if (!listed.contains(item.first) && !item.second.held_until) {
      missing[item.second.entry.service].push_back(item.first);
    }
  }
  for (const missing_map::value_type& item : missing) {
    const bool have_expired_together =
        HaveExpiredTogether(item.first, item.second.size());
    for (const std::string& id : item.second) {
      changes.push_back(have_expired_together ? *Remove(id, now)
                                              : Erase(records_.find(id)));
    }
  }
  return changes;
}

void target_registry::OnListUnavailable() {
  is_list_unavailable_ = true;
  restoring_until_.reset();
}

void target_registry::OnListAvailable(time_point now) {
  if (!is_list_unavailable_) {
    return;
  }
  is_list_unavailable_ = false;
  restoring_until_ = now + options_.restore_window;
}

std::vector<target_change> target_registry::Advance(time_point now) {
  std::vector<target_change> changes;
  for (auto position = records_.begin(); position != records_.end();) {
    const auto next = std::next(position);
    if (position->second.held_until && *position->second.held_until <= now) {
      changes.push_back(Erase(position));
    }
    position = next;
  }
  return changes;
}

std::optional<time_point> target_registry::NextDecision() const {
  std::optional<time_point> earliest;
  for (const record_map::value_type& item : records_) {
    if (item.second.held_until &&
        (!earliest || *item.second.held_until < *earliest)) {
      earliest = item.second.held_until;
    }
  }
  return earliest;
}

void target_registry::Disown(std::string_view id) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return;
  }
  found->second.is_disowned = true;
  Rebuild(found->second.entry.service);
}

bool target_registry::MarkLeaving(std::string_view id,
                                  std::int64_t started_at_unix_ms) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return false;
  }
  record& known = found->second;
  if (known.is_leaving || known.entry.is_draining ||
      known.entry.started_at_unix_ms != started_at_unix_ms) {
    return false;
  }
  known.is_leaving = true;
  Rebuild(known.entry.service);
  return true;
}

std::span<const registered_target> target_registry::UsableTargets(
    std::string_view service) const {
  const auto found = usable_.find(service);
  if (found == usable_.end()) {
    return {};
  }
  return found->second;
}

const target_entry* target_registry::Find(std::string_view id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second.entry;
}

std::size_t target_registry::usable_count() const {
  std::size_t count = 0;
  for (const usable_map::value_type& item : usable_) {
    count += item.second.size();
  }
  return count;
}

std::uint64_t target_registry::Digest() const {
  if (digest_) {
    return *digest_;
  }
  std::uint64_t digest = 0;
  for (const record_map::value_type& item : records_) {
    if (item.second.held_until) {
      continue;
    }
    const target_entry& entry = item.second.entry;
    const std::string text = item.first + '\n' + entry.service + '\n' +
                             FormatEndpoint(entry.address) + '\n' +
                             std::to_string(entry.started_at_unix_ms) +
                             (entry.is_draining ? "d" : "");
    digest ^= XXH3_64bits(text.data(), text.size());
  }
  digest_ = digest;
  return digest;
}

bool target_registry::IsRestoring(time_point now) const {
  return restoring_until_ && now < *restoring_until_;
}

bool target_registry::HaveExpiredTogether(std::string_view service,
                                          std::size_t missing) const {
  const std::size_t known = static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [service](const record_map::value_type& entry) {
                      return entry.second.entry.service == service;
                    }));
  return static_cast<double>(missing) >
         options_.max_departed_fraction * static_cast<double>(known);
}

void target_registry::Rebuild(std::string_view service) {
  std::vector<registered_target> targets;
  for (const record_map::value_type& item : records_) {
    if (item.second.entry.service == service &&
        !item.second.entry.is_draining && !item.second.is_disowned &&
        !item.second.is_leaving) {
      targets.push_back(
          {item.second.entry, item.second.incarnation, item.second.warm_until});
    }
  }
  usable_[std::string(service)] = std::move(targets);
}

target_change target_registry::Erase(record_map::iterator position) {
  target_change change{target_change_type::kRemoved, position->first,
                       position->second.entry.service};
  if (departed_.size() >= kMaxRemovedIds) {
    departed_.clear();
  }
  departed_[change.id] = {position->second.entry.started_at_unix_ms,
                          position->second.entry.address,
                          position->second.is_leaving};
  records_.erase(position);
  digest_.reset();
  Rebuild(change.service);
  return change;
}

}  // namespace bulrushshore

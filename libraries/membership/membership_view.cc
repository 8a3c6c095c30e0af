#include "libraries/membership/membership_view.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

#include <xxhash.h>

namespace bulrushshore {
namespace {

// Passing a rumour on this many times per doubling of the fleet reaches all
// hosts with high probability; the view hash finds the rare exceptions.
constexpr std::uint32_t kRecordPassingsPerDoubling = 2;
constexpr std::uint32_t kCounterPassingsPerDoubling = 1;

// The share of one record in the hash of the view. Shares are added, so that a
// change costs one subtraction and one addition.
std::uint64_t RecordHash(const host_record& record) {
  if (record.state == host_state::kLost) {
    return 0;
  }
  const std::string text = record.id + '/' + record.incarnation + '/' +
                           std::to_string(record.sequence) + '/' +
                           std::to_string(static_cast<int>(record.state));
  return XXH3_64bits(text.data(), text.size());
}

bool IsReachable(host_state state) {
  return state == host_state::kLive || state == host_state::kLeaving;
}

// Picks up to `limit` entries with the most passings left.
template <typename Entry>
std::vector<Entry*> MostPassings(std::vector<Entry*> candidates,
                                 std::uint32_t Entry::*passings,
                                 std::size_t limit) {
  const std::size_t count = std::min(limit, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [passings](const Entry* left, const Entry* right) {
                      return left->*passings > right->*passings;
                    });
  candidates.resize(count);
  for (Entry* chosen : candidates) {
    --(chosen->*passings);
  }
  return candidates;
}

}  // namespace

membership_view::membership_view(host_record self) : self_id_(self.id) {
  assert(self.state == host_state::kLive && self.sequence > 0);
  entry& own = entries_[self_id_];
  own.record = std::move(self);
  hash_ = RecordHash(own.record);
}

bool membership_view::Merge(const host_record& record, time_point now) {
  if (record.id == self_id_) {
    return MergeAboutSelf(record);
  }
  const auto position = entries_.find(record.id);
  if (position == entries_.end()) {
    // A host that forgot a lost one does not learn of it again from others.
    if (record.state == host_state::kLost) {
      return false;
    }
    Replace(entries_[record.id], record, now);
    return true;
  }
  entry& held = position->second;
  if (!IsNewer(Summarize(record), Summarize(held.record))) {
    MergeCounters({record.id, record.incarnation, record.key_generation,
                   record.catalog_version});
    return false;
  }
  Replace(held, record, now);
  return true;
}

void membership_view::MergeCounters(const host_counters& counters) {
  const auto position = entries_.find(counters.id);
  if (position == entries_.end() || counters.id == self_id_) {
    return;
  }
  entry& held = position->second;
  host_record& record = held.record;
  if (record.incarnation != counters.incarnation ||
      (record.key_generation >= counters.key_generation &&
       record.catalog_version >= counters.catalog_version)) {
    return;
  }
  record.key_generation =
      std::max(record.key_generation, counters.key_generation);
  record.catalog_version =
      std::max(record.catalog_version, counters.catalog_version);
  held.counter_passings = kCounterPassingsPerDoubling * PassingsPerChange();
  ++counter_changes_;
}

bool membership_view::Suspect(std::string_view id, time_point now) {
  const auto position = entries_.find(id);
  if (position == entries_.end() || id == self_id_ ||
      !IsReachable(position->second.record.state)) {
    return false;
  }
  SetState(position->second, host_state::kSuspected, now);
  return true;
}

std::vector<std::string> membership_view::Expire(time_point now,
                                                 duration suspicion,
                                                 duration retention) {
  std::vector<std::string> lost;
  auto position = entries_.begin();
  while (position != entries_.end()) {
    entry& held = position->second;
    if (held.record.state == host_state::kSuspected &&
        now - held.state_since >= suspicion) {
      SetState(held, host_state::kLost, now);
      lost.push_back(held.record.id);
    }
    if (held.record.state == host_state::kLost &&
        now - held.state_since >= retention) {
      position = entries_.erase(position);
      ++record_changes_;
      continue;
    }
    ++position;
  }
  return lost;
}

void membership_view::SetLeaving() {
  hash_ -= RecordHash(self());
  self_entry().record.state = host_state::kLeaving;
  SelfChanged();
}

void membership_view::SetSelfSuspect(bool is_self_suspect) {
  if (self().is_self_suspect == is_self_suspect) {
    return;
  }
  hash_ -= RecordHash(self());
  self_entry().record.is_self_suspect = is_self_suspect;
  SelfChanged();
}

void membership_view::Inherit(const std::vector<std::string>& incarnations) {
  hash_ -= RecordHash(self());
  std::vector<std::string>& inherited =
      self_entry().record.inherited_incarnations;
  for (const std::string& incarnation : incarnations) {
    if (std::find(inherited.begin(), inherited.end(), incarnation) ==
        inherited.end()) {
      inherited.push_back(incarnation);
    }
  }
  if (inherited.size() > kMaxInheritedIncarnations) {
    inherited.erase(inherited.begin(),
                    inherited.end() -
                        static_cast<std::ptrdiff_t>(kMaxInheritedIncarnations));
  }
  SelfChanged();
}

void membership_view::RaiseSelfCounters(std::uint64_t key_generation,
                                        std::uint64_t catalog_version) {
  host_record& own = self_entry().record;
  if (own.key_generation >= key_generation &&
      own.catalog_version >= catalog_version) {
    return;
  }
  own.key_generation = std::max(own.key_generation, key_generation);
  own.catalog_version = std::max(own.catalog_version, catalog_version);
  ++counter_changes_;
}

const host_record& membership_view::self() const {
  return entries_.find(self_id_)->second.record;
}

const host_record* membership_view::Find(std::string_view id) const {
  const auto position = entries_.find(id);
  return position == entries_.end() ? nullptr : &position->second.record;
}

std::vector<host_record> membership_view::Records() const {
  std::vector<host_record> records;
  records.reserve(entries_.size());
  for (const entry_map::value_type& item : entries_) {
    records.push_back(item.second.record);
  }
  return records;
}

std::vector<const host_record*> membership_view::Others(
    bool is_reachable) const {
  std::vector<const host_record*> others;
  for (const entry_map::value_type& item : entries_) {
    if (item.first != self_id_ &&
        IsReachable(item.second.record.state) == is_reachable) {
      others.push_back(&item.second.record);
    }
  }
  return others;
}

std::vector<host_record> membership_view::TakeRecentRecords(std::size_t limit) {
  std::vector<entry*> candidates;
  for (entry_map::value_type& item : entries_) {
    if (item.second.record_passings > 0) {
      candidates.push_back(&item.second);
    }
  }
  std::vector<host_record> records;
  for (const entry* chosen :
       MostPassings(std::move(candidates), &entry::record_passings, limit)) {
    records.push_back(chosen->record);
  }
  return records;
}

std::vector<host_counters> membership_view::TakeRecentCounters(
    std::size_t limit) {
  std::vector<entry*> candidates;
  for (entry_map::value_type& item : entries_) {
    if (item.second.counter_passings > 0) {
      candidates.push_back(&item.second);
    }
  }
  std::vector<host_counters> counters;
  for (const entry* chosen :
       MostPassings(std::move(candidates), &entry::counter_passings, limit)) {
    const host_record& record = chosen->record;
    counters.push_back({record.id, record.incarnation, record.key_generation,
                        record.catalog_version});
  }
  return counters;
}

std::vector<record_summary> membership_view::Summaries() const {
  std::vector<record_summary> summaries;
  for (const entry_map::value_type& item : entries_) {
    summaries.push_back(Summarize(item.second.record));
  }
  return summaries;
}

view_difference membership_view::Compare(
    const std::vector<record_summary>& theirs) const {
  view_difference difference;
  std::map<std::string_view, const record_summary*> by_id;
  for (const record_summary& summary : theirs) {
    by_id[summary.id] = &summary;
    const host_record* held = Find(summary.id);
    const bool is_unknown =
        held == nullptr && summary.state != host_state::kLost;
    if (is_unknown || (held != nullptr && IsNewer(summary, Summarize(*held)))) {
      difference.newer_there.push_back(summary.id);
    }
  }
  for (const entry_map::value_type& item : entries_) {
    const host_record& record = item.second.record;
    const auto position = by_id.find(record.id);
    const bool is_unknown =
        position == by_id.end() && record.state != host_state::kLost;
    if (is_unknown || (position != by_id.end() &&
                       IsNewer(Summarize(record), *position->second))) {
      difference.newer_here.push_back(record);
    }
  }
  return difference;
}

bool membership_view::IsNewer(const record_summary& other,
                              const record_summary& mine) {
  if (other.sequence != mine.sequence) {
    return other.sequence > mine.sequence;
  }
  if (other.state != mine.state) {
    return other.state > mine.state;
  }
  return other.incarnation > mine.incarnation;
}

record_summary membership_view::Summarize(const host_record& record) {
  return {record.id, record.incarnation, record.sequence, record.state};
}

bool membership_view::MergeAboutSelf(const host_record& record) {
  const host_record& own = self();
  const bool is_own = record.incarnation == own.incarnation &&
                      record.state == own.state &&
                      record.sequence == own.sequence;
  if (record.sequence < own.sequence || is_own) {
    return false;
  }
  hash_ -= RecordHash(own);
  self_entry().record.sequence = record.sequence;
  SelfChanged();
  ++refutations_;
  return true;
}

void membership_view::Replace(entry& held,
                              const host_record& record,
                              time_point now) {
  const bool is_new = held.record.id.empty();
  if (!is_new) {
    hash_ -= RecordHash(held.record);
  }
  if (is_new || held.record.state != record.state) {
    held.state_since = now;
  }
  const host_record previous = std::exchange(held.record, record);
  if (previous.incarnation == record.incarnation) {
    held.record.key_generation =
        std::max(previous.key_generation, record.key_generation);
    held.record.catalog_version =
        std::max(previous.catalog_version, record.catalog_version);
  }
  hash_ += RecordHash(held.record);
  held.record_passings = kRecordPassingsPerDoubling * PassingsPerChange();
  ++record_changes_;
}

void membership_view::SetState(entry& held, host_state state, time_point now) {
  hash_ -= RecordHash(held.record);
  held.record.state = state;
  held.state_since = now;
  hash_ += RecordHash(held.record);
  held.record_passings = kRecordPassingsPerDoubling * PassingsPerChange();
  ++record_changes_;
}

void membership_view::SelfChanged() {
  entry& own = self_entry();
  ++own.record.sequence;
  hash_ += RecordHash(own.record);
  own.record_passings = kRecordPassingsPerDoubling * PassingsPerChange();
  ++record_changes_;
}

membership_view::entry& membership_view::self_entry() {
  return entries_.find(self_id_)->second;
}

std::uint32_t membership_view::PassingsPerChange() const {
  return static_cast<std::uint32_t>(std::bit_width(entries_.size()));
}

}  // namespace bulrushshore

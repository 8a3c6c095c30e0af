#ifndef LIBRARIES_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define LIBRARIES_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/peer_protocol/messages.h"

namespace bulrushshore {

// How the view of a peer differs from this one.
struct view_difference {
  // Records that are newer here.
  std::vector<host_record> newer_here;
  // Ids of records that are newer there.
  std::vector<std::string> newer_there;
};

// What one host knows of all hosts. For one host id the record with the higher
// sequence wins; at equal sequence the worse state, then the higher
// incarnation. Only a host itself raises its sequence, so that a host that is
// alive refutes what others say about it. Not thread safe.
class membership_view {
 public:
  // Precondition: `self` is live and its sequence is above 0.
  explicit membership_view(host_record self);

  // Takes over `record` if it is newer than the one held, and returns true if
  // the view changed. A record about this host that others hold and that is
  // not its own raises this host's sequence above it.
  bool Merge(const host_record& record, time_point now);

  // Takes over counters that are higher and belong to the incarnation held.
  void MergeCounters(const host_counters& counters);

  // Marks a live or leaving host as suspected. Returns true if it did.
  bool Suspect(std::string_view id, time_point now);

  // Marks hosts as lost that have been suspected for `suspicion` and forgets
  // those that have been lost for `retention`. Returns the ids newly lost.
  std::vector<std::string> Expire(time_point now,
                                  duration suspicion,
                                  duration retention);

  // Changes this host's own record; the sequence grows. The state may only be
  // live or leaving.
  void SetLeaving();
  void SetSelfSuspect(bool is_self_suspect);
  // Adds incarnations whose keys this host answers for; at
  // kMaxInheritedIncarnations the oldest ones go.
  void Inherit(const std::vector<std::string>& incarnations);

  // Raises this host's counters; lower values are ignored.
  void RaiseSelfCounters(std::uint64_t key_generation,
                         std::uint64_t catalog_version);

  const host_record& self() const;

  // Returns the record of `id`, or null. Valid until the next change.
  const host_record* Find(std::string_view id) const;

  // Returns all records ordered by id, this host's included.
  std::vector<host_record> Records() const;

  // Returns the records other than this host's whose state is one of live and
  // leaving (`is_reachable`), or suspected and lost.
  std::vector<const host_record*> Others(bool is_reachable) const;

  // Returns a hash of ids, incarnations, sequences and states of all records
  // but the lost ones, which each host forgets at a time of its own.
  std::uint64_t hash() const { return hash_; }

  // Returns the records that changed most recently and still have to be passed
  // on; each call counts as one passing.
  std::vector<host_record> TakeRecentRecords(std::size_t limit);

  // As TakeRecentRecords(), for counters.
  std::vector<host_counters> TakeRecentCounters(std::size_t limit);

  std::vector<record_summary> Summaries() const;

  // Compares with the whole view of a peer.
  view_difference Compare(const std::vector<record_summary>& theirs) const;

  // Returns true if the owner of `mine` must replace it by `other`.
  static bool IsNewer(const record_summary& other, const record_summary& mine);
  static record_summary Summarize(const host_record& record);

  // Grows with every change of a record, counters aside.
  std::uint64_t record_changes() const { return record_changes_; }
  // Grows with every change of a counter.
  std::uint64_t counter_changes() const { return counter_changes_; }
  // Number of times that this host contradicted a record about itself.
  std::uint64_t refutations() const { return refutations_; }

 private:
  struct entry {
    host_record record;
    time_point state_since;
    // How often the record and its counters are still to be passed on.
    std::uint32_t record_passings = 0;
    std::uint32_t counter_passings = 0;
  };
  using entry_map = std::map<std::string, entry, std::less<>>;

  bool MergeAboutSelf(const host_record& record);
  void Replace(entry& held, const host_record& record, time_point now);
  void SetState(entry& held, host_state state, time_point now);
  void SelfChanged();
  entry& self_entry();
  std::uint32_t PassingsPerChange() const;

  const std::string self_id_;
  entry_map entries_;
  std::uint64_t hash_ = 0;
  std::uint64_t record_changes_ = 0;
  std::uint64_t counter_changes_ = 0;
  std::uint64_t refutations_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_MEMBERSHIP_VIEW_H_

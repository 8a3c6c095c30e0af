#ifndef LIBRARIES_TARGETS_TARGET_REGISTRY_H_
#define LIBRARIES_TARGETS_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/targets/target_entry.h"

namespace bulrushshore {

struct target_registry_options {
  // Entries that lapsed while the list was away are restored within about two
  // seconds of its return, which this host notices up to half a second late.
  duration restore_time = std::chrono::milliseconds(1500);
  // If at most this share of a service's targets is missing after the list's
  // return, they have left: entries lapse together.
  double departed_share = 0.34;
};

// A target that may get requests.
struct registered_target {
  target_entry entry;
  // Changes with each incarnation, so that what was learned about an earlier
  // one is not held against the next.
  std::uint64_t incarnation = 0;
  time_point warm_until;
};

enum class target_change_type {
  kAdded,
  kChanged,
  kDraining,
  kRemoved,
  // Missing in the list, but kept while entries are being restored.
  kHeld,
  // Older than what is known of the same target.
  kOutdated,
};

// Returns the stable lower-case name of `type`. Thread safe.
std::string_view TargetChangeTypeName(target_change_type type);

struct target_change {
  target_change_type type = target_change_type::kAdded;
  std::string id;
  std::string service;
};

// The targets of all services as the platform's list states them. Decides which
// of them may get new requests when entries drain, lapse, return under the same
// id or arrive out of order. It never reads a clock. Not thread safe.
class target_registry {
 public:
  explicit target_registry(const target_registry_options& options = {});

  // Enters a statement of a target.
  target_change Apply(const target_entry& entry, time_point now);

  // Enters that the list no longer has the target.
  std::optional<target_change> Remove(std::string_view id, time_point now);

  // Enters the complete list.
  std::vector<target_change> Replace(std::span<const target_entry> entries,
                                     time_point now);

  // The list cannot be read any more.
  void OnListLost();

  // The list can be read again. Has an effect only after OnListLost().
  void OnListRegained(time_point now);

  // Removes the targets whose entries were not restored in time.
  std::vector<target_change> Advance(time_point now);

  // Returns when Advance() has something to do.
  std::optional<time_point> NextDecision() const;

  // Takes a target out of use because another process answered at its address.
  // It returns with its next incarnation.
  void Disown(std::string_view id);

  // Returns the targets of a service that may get new requests. The span is
  // valid until the next change.
  std::span<const registered_target> Usable(std::string_view service) const;

  // Returns the entry, or null.
  const target_entry* Find(std::string_view id) const;

  // Returns a number that is equal on hosts that know the same entries.
  std::uint64_t Digest() const;

  // Returns the number of targets that may get new requests.
  std::size_t usable_count() const;

 private:
  struct record {
    target_entry entry;
    std::uint64_t incarnation = 0;
    time_point warm_until;
    bool is_disowned = false;
    // Set while the entry is missing and may still be restored.
    std::optional<time_point> held_until;
  };
  using record_map = std::map<std::string, record, std::less<>>;
  using usable_map =
      std::map<std::string, std::vector<registered_target>, std::less<>>;
  // Ids by service.
  using missing_map = std::map<std::string, std::vector<std::string>>;

  bool IsRestoring(time_point now) const;
  bool HaveLapsed(std::string_view service, std::size_t missing) const;
  void Rebuild(std::string_view service);
  target_change Erase(record_map::iterator position);

  target_registry_options options_;
  record_map records_;
  // Newest incarnation seen of ids that are gone, against statements that
  // arrive late.
  std::map<std::string, std::int64_t, std::less<>> last_started_;
  usable_map usable_;
  std::uint64_t next_incarnation_ = 1;
  bool is_list_lost_ = false;
  std::optional<time_point> restoring_until_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TARGETS_TARGET_REGISTRY_H_

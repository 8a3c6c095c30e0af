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
  // Time for which missing targets stay in use after the list can be read
  // again. Targets whose entries expired while the list was unavailable write
  // them again within about two seconds of its return, and this host notices
  // the return up to half a second late.
  duration restore_window = std::chrono::milliseconds(1500);
  // If at most this fraction of a service's targets is missing from a complete
  // list, the registry treats them as departed and removes them at once. A
  // larger fraction indicates that entries expired during an outage of the
  // list, because an outage makes the entries of many targets expire together.
  double max_departed_fraction = 0.34;
};

// A target that may receive new requests.
struct registered_target {
  target_entry entry;
  // Number that this host assigns to an incarnation. It changes when the
  // entry's start time or address changes, so that health data about an earlier
  // incarnation does not apply to the next.
  std::uint64_t incarnation = 0;
  // End of the target's warm-up.
  time_point warm_until;
};

// Result of an update to one target.
enum class target_change_type {
  kAdded,
  kChanged,
  kDraining,
  kRemoved,
  // Missing from the list, but kept because targets are still restoring their
  // entries after an outage of the list.
  kHeld,
  // Ignored, because a newer entry of the same target is known.
  kOutdated,
};

// Returns the stable lower-case name of `type`. Thread safe.
std::string_view TargetChangeTypeName(target_change_type type);

struct target_change {
  target_change_type type = target_change_type::kAdded;
  std::string id;
  std::string service;
};

// Holds the targets of all services as read from the platform's target list and
// decides which of them may receive new requests. It handles targets that drain
// or restart under the same id, and entries that expire or arrive out of order.
// A disowned target gets no new requests, because another process responded at
// its address. The class never reads a clock; callers pass the current time.
// Not thread safe.
class target_registry {
 public:
  explicit target_registry(const target_registry_options& options = {});

  // Adds or updates a target, unless `entry` is outdated.
  target_change Apply(const target_entry& entry, time_point now);

  // Removes a target that is no longer in the list, or holds it until the
  // restore window ends. Returns nullopt if the target is unknown.
  std::optional<target_change> Remove(std::string_view id, time_point now);

  // Applies the complete list: adds and updates the listed targets, and removes
  // or holds those that are missing from it.
  std::vector<target_change> Replace(std::span<const target_entry> entries,
                                     time_point now);

  // Must be called when the list becomes unreadable.
  void OnListUnavailable();

  // Must be called when the list is readable again. Starts the restore window;
  // has an effect only after OnListUnavailable().
  void OnListAvailable(time_point now);

  // Removes held targets whose entries were not restored in time.
  std::vector<target_change> Advance(time_point now);

  // Returns the earliest time at which Advance() will remove a target, or
  // nullopt if no target is held.
  std::optional<time_point> NextDecision() const;

  // Excludes a target from new requests because another process responded at
  // its address. The target's next incarnation may receive requests again. Has
  // no effect if the target is unknown.
  void Disown(std::string_view id);

  // Excludes an incarnation of a target from new requests because the target
  // has announced that it is leaving. This also holds for entries of the
  // incarnation that are applied later. Returns false if the target was already
  // draining, leaving or unknown, or has another start time.
  bool MarkLeaving(std::string_view id, std::int64_t started_at_unix_ms);

  // Returns the targets of a service that may receive new requests. The span is
  // valid until the next change to the registry.
  std::span<const registered_target> UsableTargets(
      std::string_view service) const;

  // Returns the target's entry, or null if the target is unknown.
  const target_entry* Find(std::string_view id) const;

  // Returns a hash of the id, service, address, start time and draining state
  // of each target that is not held. Hosts that know the same entries compute
  // the same value.
  std::uint64_t Digest() const;

  // Returns the number of targets of all services that may receive new
  // requests.
  std::size_t usable_count() const;

 private:
  struct record {
    target_entry entry;
    std::uint64_t incarnation = 0;
    time_point warm_until;
    bool is_disowned = false;
    // The target has announced in a response that it is leaving.
    bool is_leaving = false;
    // Set if the target's entry is missing but may still be restored: the time
    // at which the target is removed if it has not been restored.
    std::optional<time_point> held_until;
  };
  using record_map = std::map<std::string, record, std::less<>>;
  using usable_map =
      std::map<std::string, std::vector<registered_target>, std::less<>>;
  // Ids of missing targets by service.
  using missing_map = std::map<std::string, std::vector<std::string>>;

  // Returns whether the restore window is open.
  bool IsRestoring(time_point now) const;
  // Returns whether so many of the service's targets are `missing` that their
  // entries probably expired during an outage of the list.
  bool HaveExpiredTogether(std::string_view service, std::size_t missing) const;
  // Recomputes the targets of `service` that may receive new requests.
  void Rebuild(std::string_view service);
  target_change Erase(record_map::iterator position);

  target_registry_options options_;
  record_map records_;
  // What is kept of the last known incarnation of a removed target.
  struct departed_target {
    std::int64_t started_at_unix_ms = 0;
    endpoint address;
    bool was_leaving = false;
  };
  // By id. Used to reject updates of an earlier incarnation that arrive late.
  std::map<std::string, departed_target, std::less<>> departed_;
  usable_map usable_;
  std::uint64_t next_incarnation_ = 1;
  bool is_list_unavailable_ = false;
  // Result of Digest(), if nothing that it depends on has changed since.
  mutable std::optional<std::uint64_t> digest_;
  // End of the restore window, if the list has been readable since an outage.
  std::optional<time_point> restoring_until_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TARGETS_TARGET_REGISTRY_H_

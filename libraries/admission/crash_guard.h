#ifndef LIBRARIES_ADMISSION_CRASH_GUARD_H_
#define LIBRARIES_ADMISSION_CRASH_GUARD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/base/clock.h"

namespace bulrushshore {

// How certain it is that a target was lost because of the request that it ran.
enum class loss_evidence {
  // The connection may have ended for another reason, because it had been idle.
  kPossible,
  kCertain,
};

struct crash_guard_options {
  bool is_enabled = true;
  // A request is held back once this number of different targets closed the
  // connection while they ran it.
  std::size_t lost_targets_threshold = 2;
  // The same if possible losses are counted, too.
  std::size_t possibly_lost_targets_threshold = 3;
  duration hold_time = std::chrono::minutes(10);
  // Maximum number of fingerprints with losses. When it is reached, the one
  // with the oldest loss is evicted; those that are held back are evicted last.
  std::size_t capacity = 200;
  // A request that completed within this time is not suspected: targets that
  // crash while they run a frequent request are no evidence against it.
  duration completion_window = std::chrono::minutes(1);
  // Number of fingerprints whose last completion is stored, 16 bytes each.
  std::size_t completion_capacity = 256;
};

// The fingerprint of a request that is held back, when the hold ends, and the
// targets that were lost.
struct held_fingerprint {
  std::uint64_t fingerprint = 0;
  time_point until;
  std::vector<std::string> lost_targets;
};

// Detects requests that crash the targets that run them. A fingerprint is a
// hash that identifies equal requests. A request is under suspicion once a
// target closed the connection while it ran the request, which is recorded as a
// loss. Once enough different targets have done so, the request is held back:
// no further target gets it for the hold time. Not thread safe.
class crash_guard {
 public:
  explicit crash_guard(const crash_guard_options& options = {});

  // Records a target that closed the connection while it ran the request.
  // Returns true if the request is held back because of this loss. Fingerprint
  // 0 means "unknown" and is ignored.
  bool RecordLoss(std::uint64_t fingerprint,
                  std::string_view target,
                  time_point now,
                  loss_evidence evidence = loss_evidence::kCertain);

  // Returns true if a loss is recorded for the request. It should then be sent
  // on a new connection, so that a further loss is certain.
  bool IsSuspected(std::uint64_t fingerprint, time_point now) const;

  // Records a complete response, which clears the request of suspicion, also
  // for losses within the completion window that follows.
  void RecordCompleted(std::uint64_t fingerprint, time_point now);

  // Returns the time at which the hold on the request ends, or nothing if the
  // request is not held back.
  std::optional<time_point> HeldUntil(std::uint64_t fingerprint,
                                      time_point now) const;

  // Ends a hold on behalf of an operator; returns false if the request was not
  // held back.
  bool Release(std::uint64_t fingerprint, time_point now);

  // Returns the requests held back at `now`.
  std::vector<held_fingerprint> Held(time_point now) const;

  std::size_t size() const { return losses_.size(); }

 private:
  struct lost_target {
    std::string id;
    loss_evidence evidence = loss_evidence::kCertain;
  };

  struct loss_record {
    std::vector<lost_target> targets;
    time_point last_loss;
    std::optional<time_point> held_until;
  };

  // Adds a target or the better evidence for a known one.
  static void AddTarget(std::string_view id,
                        loss_evidence evidence,
                        loss_record& record);
  bool IsOverThreshold(const loss_record& record) const;

  struct completion_record {
    std::uint64_t fingerprint = 0;
    time_point time;
  };

  void EvictIfFull(time_point now);
  bool HasRecentlyCompleted(std::uint64_t fingerprint, time_point now) const;

  crash_guard_options options_;
  // Indexed by the fingerprint modulo the size; a newer completion overwrites
  // an older one at the same index.
  std::vector<completion_record> recent_completions_;
  std::unordered_map<std::uint64_t, loss_record> losses_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_CRASH_GUARD_H_

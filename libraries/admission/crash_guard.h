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

struct crash_guard_options {
  bool is_enabled = true;
  // Different targets that a request may cost before it is held back.
  std::size_t targets_lost = 2;
  duration hold_time = std::chrono::minutes(10);
  // Fingerprints kept; beyond it the one with the oldest loss is forgotten.
  std::size_t capacity = 200;
  // A request that was answered within this time is not blamed for losses:
  // targets that die while they run a popular request are no evidence.
  duration answer_memory = std::chrono::minutes(1);
  // Fingerprints whose last answer is remembered, 16 bytes each.
  std::size_t answer_capacity = 256;
};

// A request that is held back.
struct held_fingerprint {
  std::uint64_t fingerprint = 0;
  time_point until;
};

// Finds requests that crash the targets that run them. Not thread safe.
class crash_guard {
 public:
  explicit crash_guard(const crash_guard_options& options = {});

  // Enters a target that closed the connection while it ran the request.
  // Returns true if this loss makes the request held back. Fingerprint 0
  // stands for "unknown" and is ignored.
  bool RecordLoss(std::uint64_t fingerprint,
                  std::string_view target,
                  time_point now);

  // Enters a complete answer, which clears the request of suspicion, also for
  // losses within the answer memory.
  void RecordCompleted(std::uint64_t fingerprint, time_point now);

  // Returns until when the request is held back, or nothing if it is not.
  std::optional<time_point> HeldUntil(std::uint64_t fingerprint,
                                      time_point now) const;

  // Releases a request by an operator's decision; returns false if it was not
  // held back.
  bool Release(std::uint64_t fingerprint, time_point now);

  // Returns the requests held back at `now`.
  std::vector<held_fingerprint> Held(time_point now) const;

  std::size_t size() const { return losses_.size(); }

 private:
  struct loss_record {
    std::vector<std::string> targets;
    time_point last_loss;
    std::optional<time_point> held_until;
  };

  struct answer_record {
    std::uint64_t fingerprint = 0;
    time_point time;
  };

  void MakeRoom(time_point now);
  bool WasAnsweredLately(std::uint64_t fingerprint, time_point now) const;

  crash_guard_options options_;
  // Indexed by the fingerprint modulo the size; a newer answer replaces an
  // older one in the same place.
  std::vector<answer_record> answers_;
  std::unordered_map<std::uint64_t, loss_record> losses_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_CRASH_GUARD_H_

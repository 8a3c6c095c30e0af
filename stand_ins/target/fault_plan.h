#ifndef STAND_INS_TARGET_FAULT_PLAN_H_
#define STAND_INS_TARGET_FAULT_PLAN_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"

namespace bulrushshore {

enum class target_mode {
  kHealthy,
  // The health endpoint reports good health while a share of requests fails
  // or hangs.
  kGray,
  // The health endpoint reports good health while all work is slow.
  kSlowGray,
  // Alternates between good service and failure of every request.
  kFlapping,
  // A share of responses is cut in the middle.
  kTruncating,
  // Connections that are open when the mode starts go silent; new ones work.
  kFreezing,
};

// Returns the name of `mode` as the admin endpoint takes it. Thread safe.
std::string_view TargetModeName(target_mode mode);

// Returns nothing if `name` is no mode. Thread safe.
std::optional<target_mode> ParseTargetMode(std::string_view name);

struct fault_settings {
  target_mode mode = target_mode::kHealthy;
  // Shares of requests from 0 to 1, for kGray and kTruncating.
  double fail_share = 0.3;
  double hang_share = 0.0;
  double truncate_share = 0.3;
  // Factor on work times, for kSlowGray.
  double slow_factor = 10.0;
  // Length of each good and each bad phase, for kFlapping.
  std::chrono::milliseconds flap_period{2000};
};

enum class request_fault { kNone, kFail, kHang, kTruncate };

// Decides which fault a request meets. Thread safe.
class fault_plan {
 public:
  explicit fault_plan(std::uint64_t seed);

  void Configure(const fault_settings& settings, time_point now);
  fault_settings settings() const;

  request_fault Draw(time_point now);

  // Returns the factor on work times.
  double WorkFactor() const;

  // Returns whether an accurate health endpoint reports good health.
  bool IsHealthy(time_point now) const;

 private:
  bool IsInBadPhase(time_point now) const;

  mutable std::mutex mutex_;
  seeded_random random_;
  fault_settings settings_;
  time_point configured_at_{};
};

}  // namespace bulrushshore

#endif  // STAND_INS_TARGET_FAULT_PLAN_H_

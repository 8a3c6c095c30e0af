#include "stand_ins/target/fault_plan.h"

#include <array>
#include <utility>

namespace bulrushshore {
namespace {

using mode_name = std::pair<target_mode, std::string_view>;

constexpr std::array<mode_name, 6> kModeNames = {{
    {target_mode::kHealthy, "healthy"},
    {target_mode::kGray, "gray"},
    {target_mode::kSlowGray, "slow-gray"},
    {target_mode::kFlapping, "flapping"},
    {target_mode::kTruncating, "truncating"},
    {target_mode::kFreezing, "freezing"},
}};

}  // namespace

std::string_view TargetModeName(target_mode mode) {
  for (const mode_name& entry : kModeNames) {
    if (entry.first == mode) {
      return entry.second;
    }
  }
  return "healthy";
}

std::optional<target_mode> ParseTargetMode(std::string_view name) {
  for (const mode_name& entry : kModeNames) {
    if (entry.second == name) {
      return entry.first;
    }
  }
  return std::nullopt;
}

fault_plan::fault_plan(std::uint64_t seed) : random_(seed) {}

void fault_plan::Configure(const fault_settings& settings, time_point now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  settings_ = settings;
  configured_at_ = now;
}

fault_settings fault_plan::settings() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return settings_;
}

request_fault fault_plan::Draw(time_point now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const double drawn = random_.UniformReal();
  switch (settings_.mode) {
    case target_mode::kHealthy:
    case target_mode::kSlowGray:
    case target_mode::kFreezing:
      return request_fault::kNone;
    case target_mode::kGray:
      if (drawn < settings_.fail_share) {
        return request_fault::kFail;
      }
      return drawn < settings_.fail_share + settings_.hang_share
                 ? request_fault::kHang
                 : request_fault::kNone;
    case target_mode::kFlapping:
      return IsInBadPhase(now) ? request_fault::kFail : request_fault::kNone;
    case target_mode::kTruncating:
      return drawn < settings_.truncate_share ? request_fault::kTruncate
                                              : request_fault::kNone;
  }
  return request_fault::kNone;
}

double fault_plan::WorkFactor() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return settings_.mode == target_mode::kSlowGray ? settings_.slow_factor : 1.0;
}

bool fault_plan::IsHealthy(time_point now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return settings_.mode != target_mode::kFlapping || !IsInBadPhase(now);
}

bool fault_plan::IsInBadPhase(time_point now) const {
  if (settings_.flap_period <= std::chrono::milliseconds::zero()) {
    return true;
  }
  // The bad phase comes first, so that the mode has an effect at once.
  return ((now - configured_at_) / settings_.flap_period) % 2 == 0;
}

}  // namespace bulrushshore

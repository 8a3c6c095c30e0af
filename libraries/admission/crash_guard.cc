#include "libraries/admission/crash_guard.h"

#include <algorithm>

namespace bulrushshore {

crash_guard::crash_guard(const crash_guard_options& options)
    : options_(options) {}

bool crash_guard::RecordLoss(std::uint64_t fingerprint,
                             std::string_view target,
                             time_point now,
                             loss_evidence evidence) {
  if (fingerprint == 0 || !options_.is_enabled ||
      HasRecentlyCompleted(fingerprint, now)) {
    return false;
  }
  const auto position = losses_.find(fingerprint);
  if (position == losses_.end()) {
    EvictIfFull(now);
  } else if (now - position->second.last_loss >= options_.hold_time) {
    position->second = loss_record{};
  }
  loss_record& record = losses_[fingerprint];
  record.last_loss = now;
  if (record.held_until) {
    return false;
  }
  AddTarget(target, evidence, record);
  if (!IsOverThreshold(record)) {
    return false;
  }
  record.held_until = now + options_.hold_time;
  return true;
}

void crash_guard::AddTarget(std::string_view id,
                            loss_evidence evidence,
                            loss_record& record) {
  const auto found =
      std::find_if(record.targets.begin(), record.targets.end(),
                   [id](const lost_target& target) { return target.id == id; });
  if (found == record.targets.end()) {
    record.targets.push_back({std::string(id), evidence});
  } else if (evidence == loss_evidence::kCertain) {
    found->evidence = evidence;
  }
}

bool crash_guard::IsOverThreshold(const loss_record& record) const {
  const std::size_t certain = static_cast<std::size_t>(
      std::count_if(record.targets.begin(), record.targets.end(),
                    [](const lost_target& target) {
                      return target.evidence == loss_evidence::kCertain;
                    }));
  return certain >= options_.lost_targets_threshold ||
         record.targets.size() >= options_.possibly_lost_targets_threshold;
}

bool crash_guard::IsSuspected(std::uint64_t fingerprint, time_point now) const {
  const auto position = losses_.find(fingerprint);
  return position != losses_.end() &&
         now - position->second.last_loss < options_.hold_time;
}

void crash_guard::RecordCompleted(std::uint64_t fingerprint, time_point now) {
  if (fingerprint == 0) {
    return;
  }
  // Allocated on first use, since most services of a host get no traffic.
  if (recent_completions_.empty()) {
    recent_completions_.resize(
        std::max<std::size_t>(1, options_.completion_capacity));
  }
  recent_completions_[fingerprint % recent_completions_.size()] = {fingerprint,
                                                                   now};
  const auto position = losses_.find(fingerprint);
  if (position != losses_.end()) {
    losses_.erase(position);
  }
}

bool crash_guard::HasRecentlyCompleted(std::uint64_t fingerprint,
                                       time_point now) const {
  if (recent_completions_.empty()) {
    return false;
  }
  const completion_record& completion =
      recent_completions_[fingerprint % recent_completions_.size()];
  return completion.fingerprint == fingerprint &&
         now - completion.time < options_.completion_window;
}

std::optional<time_point> crash_guard::HeldUntil(std::uint64_t fingerprint,
                                                 time_point now) const {
  const auto position = losses_.find(fingerprint);
  if (position == losses_.end() || !position->second.held_until ||
      *position->second.held_until <= now) {
    return std::nullopt;
  }
  return position->second.held_until;
}

bool crash_guard::Release(std::uint64_t fingerprint, time_point now) {
  const bool is_held = HeldUntil(fingerprint, now).has_value();
  if (is_held) {
    losses_.erase(fingerprint);
  }
  return is_held;
}

std::vector<held_fingerprint> crash_guard::Held(time_point now) const {
  std::vector<held_fingerprint> held;
  for (const std::unordered_map<std::uint64_t, loss_record>::value_type& entry :
       losses_) {
    const std::optional<time_point> until = HeldUntil(entry.first, now);
    if (!until) {
      continue;
    }
    held_fingerprint& added = held.emplace_back();
    added.fingerprint = entry.first;
    added.until = *until;
    for (const lost_target& target : entry.second.targets) {
      added.lost_targets.push_back(target.id);
    }
  }
  return held;
}

void crash_guard::EvictIfFull(time_point now) {
  if (losses_.size() < options_.capacity) {
    return;
  }
  std::erase_if(
      losses_,
      [this, now](const std::unordered_map<std::uint64_t,
                                           loss_record>::value_type& entry) {
        return now - entry.second.last_loss >= options_.hold_time;
      });
  if (losses_.size() < options_.capacity) {
    return;
  }
  // Requests that are held back are known to crash targets, so they are evicted
  // last.
  const auto oldest = std::min_element(
      losses_.begin(), losses_.end(),
      [](const std::unordered_map<std::uint64_t, loss_record>::value_type& left,
         const std::unordered_map<std::uint64_t, loss_record>::value_type&
             right) {
        const bool is_left_held = left.second.held_until.has_value();
        const bool is_right_held = right.second.held_until.has_value();
        if (is_left_held != is_right_held) {
          return is_right_held;
        }
        return left.second.last_loss < right.second.last_loss;
      });
  losses_.erase(oldest);
}

}  // namespace bulrushshore

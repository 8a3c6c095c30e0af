#include "libraries/membership/failure_checks.h"

#include <algorithm>
#include <cassert>

namespace bulrushshore {
namespace {

constexpr std::size_t kConfirmations = 2;
constexpr std::chrono::seconds kCheckTime(5);

}  // namespace

std::size_t RequiredConfirmations(std::size_t helpers) {
  return std::min(helpers, kConfirmations);
}

bool failure_checks::Begin(std::string_view id,
                           std::size_t helpers,
                           time_point now) {
  assert(helpers > 0);
  return checks_
      .try_emplace(std::string(id), check{now, RequiredConfirmations(helpers)})
      .second;
}

bool failure_checks::OnAnswer(std::string_view id, bool is_reachable) {
  const auto position = checks_.find(id);
  if (position == checks_.end()) {
    return false;
  }
  if (is_reachable) {
    checks_.erase(position);
    return false;
  }
  if (--position->second.missing > 0) {
    return false;
  }
  checks_.erase(position);
  return true;
}

void failure_checks::Expire(time_point now) {
  std::erase_if(checks_,
                [now](const std::pair<const std::string, check>& item) {
                  return now - item.second.started >= kCheckTime;
                });
}

}  // namespace bulrushshore

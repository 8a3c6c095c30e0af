#include "libraries/configuration/refused_sources.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kHoldTime(10);
constexpr std::uint32_t kPeersPerVersion = 3;

}  // namespace

bool refused_sources::IsAllowed(const std::string& peer,
                                std::uint64_t version,
                                time_point now) const {
  const auto refused_peer = peers_.find(peer);
  if (refused_peer != peers_.end() && now < refused_peer->second) {
    return false;
  }
  const auto refused_version = versions_.find(version);
  return refused_version == versions_.end() ||
         refused_version->second.count < kPeersPerVersion ||
         now >= refused_version->second.until;
}

void refused_sources::Add(const std::string& peer,
                          std::uint64_t version,
                          time_point now) {
  std::erase_if(peers_,
                [now](const std::pair<const std::string, time_point>& item) {
                  return now >= item.second;
                });
  std::erase_if(versions_,
                [now](const std::pair<const std::uint64_t, refusal>& item) {
                  return now >= item.second.until;
                });
  peers_[peer] = now + kHoldTime;
  refusal& held = versions_[version];
  held.until = now + kHoldTime;
  ++held.count;
}

}  // namespace bulrushshore

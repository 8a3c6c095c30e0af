#include "libraries/peers/host_registry.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace bulrushshore {
namespace {

constexpr int kPingsBeforeLoss = 2;

// One of this number of steps pings a host of another zone.
constexpr std::uint64_t kStepsPerOtherZonePing = 4;

// After a loss, the hosts that would serve next are pinged, and this number of
// further ones per recent loss: the number of hosts checked at once grows
// geometrically while they turn out to be lost, too.
constexpr std::size_t kHostsCheckedPerLoss = 2;

// Number of recent losses in a zone from which on its hosts check the next
// ones.
constexpr std::size_t kLossesBeforeCheck = 2;

std::uint64_t RankOf(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

}  // namespace

host_registry::host_registry(host_entry self,
                             random_source& random,
                             const host_registry_options& options)
    : self_(std::move(self)), random_(random), options_(options) {
  Add(self_);
}

void host_registry::Add(const host_entry& host) {
  record& known = hosts_[host.id];
  known.is_leaving = false;
  if (known.entry == host) {
    return;
  }
  known = {};
  known.entry = host;
  known.rank = RankOf(host.id);
}

void host_registry::OnLeaving(std::string_view id) {
  const auto found = hosts_.find(id);
  if (found != hosts_.end() && id != self_.id) {
    found->second.is_leaving = true;
    found->second.pinged.reset();
    found->second.pings_sent = 0;
  }
}

void host_registry::OnMessageFrom(std::string_view id, time_point now) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) {
    return;
  }
  found->second.last_heard = now;
  found->second.is_lost = false;
  found->second.pinged.reset();
  found->second.pings_sent = 0;
  last_heard_any_ = now;
  is_alone_ = false;
}

bool host_registry::SetReady(std::string_view id, bool is_ready) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) {
    return false;
  }
  return std::exchange(found->second.is_ready, is_ready) != is_ready;
}

void host_registry::OnReportedLost(std::string_view id, time_point now) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end() || id == self_.id) {
    return;
  }
  const bool was_heard_recently =
      found->second.last_heard &&
      now - *found->second.last_heard < options_.heard_recently;
  if (!was_heard_recently) {
    MarkLost(found->second, now);
  }
}

void host_registry::MarkLost(record& host, time_point now) {
  if (!host.is_lost) {
    host.is_lost = true;
    host.lost_since = now;
  }
}

detector_actions host_registry::Step(time_point now) {
  detector_actions actions;
  HandlePingTimeouts(now, actions);
  const std::optional<std::string> next = SelectHostToPing();
  if (next) {
    Ping(hosts_.find(*next)->second, now, actions);
  }
  for (const std::string& id : SelectHostsToCheck(now)) {
    Ping(hosts_.find(id)->second, now, actions);
  }
  ++steps_;
  return actions;
}

void host_registry::HandlePingTimeouts(time_point now,
                                       detector_actions& actions) {
  // A host that receives no messages cannot tell whether the other hosts are
  // lost or itself is disconnected, so it reports no losses.
  const bool is_connected =
      last_heard_any_ && now - *last_heard_any_ < options_.heard_recently +
                                                      2 * options_.ping_timeout;
  for (record_map::value_type& known : hosts_) {
    if (!known.second.pinged) {
      continue;
    }
    const duration waited = now - *known.second.pinged;
    if (known.second.is_lost) {
      if (waited >= options_.lost_ping_interval) {
        Ping(known.second, now, actions);
      }
      continue;
    }
    if (waited < options_.ping_timeout) {
      continue;
    }
    if (known.second.pings_sent < kPingsBeforeLoss) {
      Ping(known.second, now, actions);
      continue;
    }
    MarkLost(known.second, now);
    is_alone_ = !is_connected;
    if (is_connected) {
      actions.lost_ids.push_back(known.first);
    }
  }
}

void host_registry::Ping(record& host,
                         time_point now,
                         detector_actions& actions) {
  host.pinged = now;
  ++host.pings_sent;
  actions.pings.push_back(
      {host.entry.peer_address, random_.Next(), host.is_lost});
}

std::optional<std::string> host_registry::SelectHostToPing() {
  std::vector<const record*> candidates;
  if (steps_ % kStepsPerOtherZonePing == kStepsPerOtherZonePing - 1) {
    for (const record_map::value_type& known : hosts_) {
      if (known.second.entry.zone != self_.zone) {
        candidates.push_back(&known.second);
      }
    }
  } else {
    candidates = ServingRecords(self_.zone);
    for (const record_map::value_type& known : hosts_) {
      const bool is_unavailable =
          known.second.is_lost || !known.second.is_ready;
      if (is_unavailable && known.second.entry.zone == self_.zone) {
        candidates.push_back(&known.second);
      }
    }
  }
  // Lost hosts that were pinged are pinged again by HandlePingTimeouts(). If
  // they were selected here, too, the more hosts are lost the longer the loss
  // of a further one would remain undetected.
  std::erase_if(candidates,
                [this](const record* host) { return !CanBePinged(*host); });
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random_.Uniform(candidates.size())]->entry.id;
}

bool host_registry::CanBePinged(const record& host) const {
  return host.entry.id != self_.id && !host.is_leaving && !host.pinged;
}

std::vector<std::string> host_registry::SelectHostsToCheck(
    time_point now) const {
  if (lost_count() == 0) {
    return {};
  }
  const recent_losses own = RecentLossesOf(self_.zone, now);
  // One lost host is replaced by the next one, which is probably alive. Several
  // at once are a sign that the next ones are lost, too.
  const bool are_many_lost = own.count >= kLossesBeforeCheck;
  const bool is_serving = IsServing();
  std::vector<std::string> selected;
  for (const std::map<std::string_view, std::size_t>::value_type& zone :
       ZoneSizes()) {
    const recent_losses losses = RecentLossesOf(zone.first, now);
    // Only serving hosts check another zone and report its losses, so that a
    // loss does not make every host of the fleet send pings.
    const bool is_checked =
        zone.first == self_.zone
            ? are_many_lost
            : is_serving && (are_many_lost || losses.count > 0);
    if (!is_checked) {
      continue;
    }
    const std::size_t limit =
        ServingHostLimit(zone.second) +
        kHostsCheckedPerLoss * std::max(own.count, losses.count);
    const time_point first_loss = std::min(own.first, losses.first);
    for (const record* host : AvailableRecords(zone.first, limit)) {
      const bool was_heard_since =
          host->last_heard && *host->last_heard >= first_loss;
      if (CanBePinged(*host) && !was_heard_since) {
        selected.push_back(host->entry.id);
      }
    }
  }
  return selected;
}

host_registry::recent_losses host_registry::RecentLossesOf(
    std::string_view zone,
    time_point now) const {
  recent_losses losses;
  for (const record_map::value_type& known : hosts_) {
    const record& host = known.second;
    if (host.is_lost && host.entry.zone == zone &&
        now - host.lost_since < options_.recent_loss_window) {
      ++losses.count;
      losses.first = std::min(losses.first, host.lost_since);
    }
  }
  return losses;
}

std::map<std::string_view, std::size_t> host_registry::ZoneSizes() const {
  std::map<std::string_view, std::size_t> sizes;
  for (const record_map::value_type& known : hosts_) {
    ++sizes[known.second.entry.zone];
  }
  return sizes;
}

std::vector<const host_registry::record*> host_registry::ServingRecords(
    std::string_view zone) const {
  const std::size_t zone_hosts = static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [zone](const record_map::value_type& host) {
        return host.second.entry.zone == zone;
      }));
  return AvailableRecords(zone, ServingHostLimit(zone_hosts));
}

std::vector<const host_registry::record*> host_registry::AvailableRecords(
    std::string_view zone,
    std::size_t limit) const {
  std::vector<const record*> available;
  for (const record_map::value_type& known : hosts_) {
    const record& host = known.second;
    if (host.entry.zone == zone && !host.is_leaving && host.is_ready &&
        !host.is_lost) {
      available.push_back(&host);
    }
  }
  std::sort(available.begin(), available.end(),
            [](const record* left, const record* right) {
              return left->rank < right->rank;
            });
  available.resize(std::min(available.size(), limit));
  return available;
}

std::size_t host_registry::ServingHostLimit(std::size_t zone_hosts) const {
  return std::max(
      options_.serving_hosts_per_zone,
      static_cast<std::size_t>(
          std::ceil(static_cast<double>(zone_hosts) * options_.serving_share)));
}

std::vector<endpoint> host_registry::AddressesFor(std::string_view zone) const {
  std::vector<endpoint> addresses;
  for (const record* host : ServingRecords(zone)) {
    addresses.push_back(host->entry.caller_address);
  }
  if (addresses.empty()) {
    for (const host_entry* host : ServingHosts()) {
      addresses.push_back(host->caller_address);
    }
  }
  return addresses;
}

std::vector<const host_entry*> host_registry::ServingHosts() const {
  std::vector<const host_entry*> serving;
  for (const std::map<std::string_view, std::size_t>::value_type& zone :
       ZoneSizes()) {
    for (const record* host :
         AvailableRecords(zone.first, ServingHostLimit(zone.second))) {
      serving.push_back(&host->entry);
    }
  }
  return serving;
}

std::size_t host_registry::BudgetedHostCount() const {
  const bool are_others_available = std::any_of(
      hosts_.begin(), hosts_.end(), [this](const record_map::value_type& host) {
        return host.first != self_.id && !host.second.is_lost;
      });
  if (are_others_available && !is_alone_) {
    return ServingHosts().size();
  }
  std::size_t count = 0;
  for (const std::map<std::string_view, std::size_t>::value_type& zone :
       ZoneSizes()) {
    count += std::min(zone.second, ServingHostLimit(zone.second));
  }
  return count;
}

std::vector<const host_entry*> host_registry::ServingHostsOfZone() const {
  std::vector<const host_entry*> serving;
  for (const record* host : ServingRecords(self_.zone)) {
    serving.push_back(&host->entry);
  }
  return serving;
}

std::vector<const host_entry*> host_registry::OtherHosts() const {
  std::vector<const host_entry*> others;
  for (const record_map::value_type& known : hosts_) {
    if (known.first != self_.id && !known.second.is_leaving) {
      others.push_back(&known.second.entry);
    }
  }
  return others;
}

const host_entry* host_registry::Find(std::string_view id) const {
  const auto found = hosts_.find(id);
  return found == hosts_.end() ? nullptr : &found->second.entry;
}

bool host_registry::IsServing() const {
  const std::vector<const record*> serving = ServingRecords(self_.zone);
  return std::any_of(
      serving.begin(), serving.end(),
      [this](const record* host) { return host->entry.id == self_.id; });
}

bool host_registry::ServesWhenReady() const {
  const std::vector<const record*> serving = ServingRecords(self_.zone);
  const std::uint64_t own_rank = RankOf(self_.id);
  const std::size_t ahead = static_cast<std::size_t>(std::count_if(
      serving.begin(), serving.end(),
      [own_rank](const record* host) { return host->rank < own_rank; }));
  return ahead < ServingHostLimit(ZoneNeighbours().size() + 1);
}

bool host_registry::IsZoneLeader() const {
  const std::vector<const record*> serving = ServingRecords(self_.zone);
  return !serving.empty() && serving.front()->entry.id == self_.id;
}

std::size_t host_registry::PlaceInZone() const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [this](const record_map::value_type& host) {
        return !host.second.is_lost && !host.second.is_leaving &&
               host.second.is_ready && IsAhead(host.first);
      }));
}

bool host_registry::IsAhead(std::string_view id) const {
  const auto found = hosts_.find(id);
  return found != hosts_.end() && found->second.entry.zone == self_.zone &&
         found->second.rank < hosts_.find(self_.id)->second.rank;
}

std::vector<const host_entry*> host_registry::ZoneNeighbours() const {
  std::vector<const host_entry*> neighbours = OtherHosts();
  std::erase_if(neighbours, [this](const host_entry* host) {
    return host->zone != self_.zone;
  });
  return neighbours;
}

std::vector<const host_entry*> host_registry::AssociatedHosts() const {
  std::vector<const host_entry*> receivers = ZoneNeighbours();
  for (const host_entry* host : ServingHosts()) {
    if (host->zone != self_.zone) {
      receivers.push_back(host);
    }
  }
  return receivers;
}

bool host_registry::IsLost(std::string_view id) const {
  const auto found = hosts_.find(id);
  return found != hosts_.end() && found->second.is_lost;
}

bool host_registry::IsReady(std::string_view id) const {
  const auto found = hosts_.find(id);
  return found != hosts_.end() && found->second.is_ready;
}

std::size_t host_registry::lost_count() const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [](const record_map::value_type& known) {
        return known.second.is_lost;
      }));
}

std::size_t host_registry::zone_count() const {
  return ZoneSizes().size();
}

}  // namespace bulrushshore

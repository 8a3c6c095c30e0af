#ifndef LIBRARIES_PEERS_HOST_REGISTRY_H_
#define LIBRARIES_PEERS_HOST_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/base/random_source.h"

namespace bulrushshore {

// The identity and the addresses that a host announces.
struct host_entry {
  std::string id;
  std::string zone;
  // Where callers connect.
  endpoint caller_address;
  // Where other hosts send datagrams.
  endpoint peer_address;

  bool operator==(const host_entry&) const = default;
};

struct host_registry_options {
  // Number of hosts per zone that callers are sent to. It is small so that each
  // of these hosts sees enough requests to judge targets and to keep its
  // connections in use.
  std::size_t serving_hosts_per_zone = 2;
  // Minimum share of the zone's hosts that callers are sent to, for fleets
  // whose load needs more hosts.
  double serving_share = 0.06;
  // A ping without a pong for this time is repeated once.
  duration ping_timeout = std::chrono::milliseconds(300);
  // A report that a host is lost is ignored if a message of that host arrived
  // within this time.
  duration heard_recently = std::chrono::milliseconds(500);
  // Lost hosts are pinged again at this interval.
  duration lost_ping_interval = std::chrono::seconds(1);
  // How long a loss counts as a sign that further hosts are lost.
  duration recent_loss_window = std::chrono::seconds(5);
};

// A ping that the caller of host_registry::Step() has to send.
struct due_ping {
  endpoint address;
  std::uint64_t nonce = 0;
  // Tells the receiver that it should announce itself.
  bool is_believed_lost = false;
};

// The actions that one step of the failure detector requests.
struct detector_actions {
  std::vector<due_ping> pings;
  // Hosts that this step marked as lost, to be reported to the other hosts.
  std::vector<std::string> lost_ids;
};

// Tracks which hosts exist, which of them respond, and which of them serve: a
// serving host is one that callers are sent to. In each step a host pings a
// random host among those of its zone that serve, are lost or are not ready, so
// that the cost per host does not grow with the fleet. Some steps ping a host
// of another zone instead, to detect the loss of a whole zone. After losses,
// the hosts that would serve in place of the lost ones are pinged, too, so that
// the loss of most of the fleet is detected in a few rounds.
//
// A host is lost if it has not responded to pings, however many others have not
// either: a host whose pings all remain unanswered sends callers to itself
// only. The registry never reads a clock. Not thread safe.
class host_registry {
 public:
  // Precondition: `random` outlives this object.
  host_registry(host_entry self,
                random_source& random,
                const host_registry_options& options = {});

  // Adds a host or updates its entry, and clears the mark that it is leaving.
  void Add(const host_entry& host);

  // Marks the host as leaving, so that it is sent no further callers. This host
  // still accepts its messages, and Add() clears the mark.
  void OnLeaving(std::string_view id);

  // Records that a message of the host arrived at `now`.
  void OnMessageFrom(std::string_view id, time_point now);

  // Sets whether the host, which may be this one, can serve callers. A host
  // counts as ready until this is called for it. Returns true if the value
  // changed.
  bool SetReady(std::string_view id, bool is_ready);

  // Handles the report of another host that the host is lost.
  void OnReportedLost(std::string_view id, time_point now);

  // Makes one step of the failure detector.
  detector_actions Step(time_point now);

  // Returns the caller addresses for callers of `zone`: the serving hosts of
  // the zone, or of all zones if it has none. Empty if no host is ready.
  std::vector<endpoint> AddressesFor(std::string_view zone) const;

  // Returns the hosts that callers are sent to.
  std::vector<const host_entry*> ServingHosts() const;

  // Returns the number of hosts that share the limits of the whole fleet. If no
  // host responds to this one, the others may still be serving, so all hosts
  // that would serve without losses are counted.
  std::size_t BudgetedHostCount() const;

  // Returns the serving hosts of this host's zone.
  std::vector<const host_entry*> ServingHostsOfZone() const;

  // Returns the host, or null.
  const host_entry* Find(std::string_view id) const;

  // Returns all hosts but this one and those that are leaving.
  std::vector<const host_entry*> OtherHosts() const;

  bool IsServing() const;

  // Returns true if this host serves, or will serve once it is ready.
  bool ServesWhenReady() const;

  // Returns true if this host has the lowest rank of its zone's serving hosts.
  bool IsZoneLeader() const;

  // Returns the number of hosts of this host's zone with a lower rank that
  // could lead it.
  std::size_t PlaceInZone() const;

  // Returns true if the host is of this host's zone and has a lower rank.
  bool IsAhead(std::string_view id) const;

  // Returns the other hosts of this host's zone.
  std::vector<const host_entry*> ZoneNeighbours() const;

  // Returns the other hosts of this host's zone and the serving hosts of the
  // other zones: those that send callers or reports to this host.
  std::vector<const host_entry*> AssociatedHosts() const;

  bool IsLost(std::string_view id) const;
  bool IsReady(std::string_view id) const;
  std::size_t host_count() const { return hosts_.size(); }
  std::size_t lost_count() const;
  std::size_t zone_count() const;
  const host_entry& self() const { return self_; }

 private:
  struct record {
    host_entry entry;
    // Hash of the id. In each zone, the hosts with the lowest ranks
    // serve.
    std::uint64_t rank = 0;
    bool is_lost = false;
    time_point lost_since;
    bool is_leaving = false;
    bool is_ready = true;
    std::optional<time_point> last_heard;
    // When the last ping without a pong was sent, and how often it was sent.
    std::optional<time_point> pinged;
    int pings_sent = 0;
  };
  struct recent_losses {
    std::size_t count = 0;
    // When the first one was detected.
    time_point first = time_point::max();
  };
  using record_map = std::map<std::string, record, std::less<>>;

  std::vector<const record*> ServingRecords(std::string_view zone) const;
  // Returns up to `limit` hosts of the zone that can serve, by rank.
  std::vector<const record*> AvailableRecords(std::string_view zone,
                                              std::size_t limit) const;
  std::size_t ServingHostLimit(std::size_t zone_hosts) const;
  // Returns the number of known hosts of each zone.
  std::map<std::string_view, std::size_t> ZoneSizes() const;
  recent_losses RecentLossesOf(std::string_view zone, time_point now) const;
  std::optional<std::string> SelectHostToPing();
  // Returns the hosts to ping because others were lost recently.
  std::vector<std::string> SelectHostsToCheck(time_point now) const;
  bool CanBePinged(const record& host) const;
  static void MarkLost(record& host, time_point now);
  void Ping(record& host, time_point now, detector_actions& actions);
  void HandlePingTimeouts(time_point now, detector_actions& actions);

  host_entry self_;
  random_source& random_;
  host_registry_options options_;
  record_map hosts_;
  std::optional<time_point> last_heard_any_;
  // Pings have failed, and no other host has been heard since.
  bool is_alone_ = false;
  std::uint64_t steps_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEERS_HOST_REGISTRY_H_

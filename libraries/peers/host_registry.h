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

// A host of the fleet as it announces itself.
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
  // Hosts of a zone that callers are sent to. Few hosts see enough requests
  // each to judge targets and to keep connections in use.
  std::size_t serving_hosts_per_zone = 3;
  // The same as a share of the zone's hosts, for fleets whose load needs more.
  double serving_share = 0.125;
  // A ping without an answer for this time is repeated once.
  duration ping_timeout = std::chrono::milliseconds(300);
  // A report that a host is lost does not count if it was heard since.
  duration heard_recently = std::chrono::milliseconds(500);
  // Lost hosts are asked again at this interval.
  duration lost_ping_interval = std::chrono::seconds(1);
};

// A ping that is due.
struct due_ping {
  endpoint address;
  std::uint64_t nonce = 0;
  // Tells the receiver that it should announce itself.
  bool is_believed_lost = false;
};

// What one step of the failure detector asks for.
struct detector_actions {
  std::vector<due_ping> pings;
  // Hosts that this step found lost, to be reported to the others.
  std::vector<std::string> lost_ids;
};

// Which hosts exist, which of them answer, and which of them callers are sent
// to. Hosts of a zone watch the zone's serving hosts in turn, so that the cost
// per host does not grow with the fleet; hosts of other zones are asked now and
// then, for the loss of a whole zone. It never reads a clock. Not thread safe.
class host_registry {
 public:
  // Precondition: `random` outlives this object.
  host_registry(host_entry self,
                random_source& random,
                const host_registry_options& options = {});

  // Adds a host or renews its entry.
  void Add(const host_entry& host);

  // The host takes no further callers. Its messages still count, and Add()
  // makes it a host like the others again.
  void OnLeaving(std::string_view id);

  // A message of the host arrived.
  void OnHeard(std::string_view id, time_point now);

  // The host, which may be this one, can serve callers or cannot. Other hosts
  // count as ready until they say otherwise. Returns true if that is news.
  bool SetReady(std::string_view id, bool is_ready);

  // Another host reports that the host is lost.
  void OnReportedLost(std::string_view id, time_point now);

  // Makes one step of the failure detector.
  detector_actions Step(time_point now);

  // Returns the caller addresses for callers of `zone`: the serving hosts of
  // the zone, or of all zones if it has none. Empty if no host is ready.
  std::vector<endpoint> AddressesFor(std::string_view zone) const;

  // Returns the hosts that callers are sent to.
  std::vector<const host_entry*> ServingHosts() const;

  // Returns those of this host's zone.
  std::vector<const host_entry*> ServingHostsOfZone() const;

  // Returns the host, or null.
  const host_entry* Find(std::string_view id) const;

  // Returns all hosts but this one and those that are leaving.
  std::vector<const host_entry*> OtherHosts() const;

  bool IsServing() const;

  // Returns true if this host serves, or will once it is ready.
  bool ServesWhenReady() const;

  // Returns true if this host is the first of its zone's serving hosts.
  bool IsZoneLeader() const;

  // Returns the other hosts of this host's zone.
  std::vector<const host_entry*> ZoneNeighbours() const;

  // Returns the other hosts of this host's zone and the serving hosts of the
  // other zones: those that send callers or reports to this host.
  std::vector<const host_entry*> CloseHosts() const;

  bool IsLost(std::string_view id) const;
  bool IsReady(std::string_view id) const;
  std::size_t host_count() const { return hosts_.size(); }
  std::size_t lost_count() const;
  std::size_t zone_count() const;
  const host_entry& self() const { return self_; }

 private:
  struct record {
    host_entry entry;
    std::uint64_t rank = 0;
    bool is_lost = false;
    bool is_leaving = false;
    bool is_ready = true;
    std::optional<time_point> heard;
    // An unanswered ping, and how often it was sent.
    std::optional<time_point> pinged;
    int pings_sent = 0;
  };
  using record_map = std::map<std::string, record, std::less<>>;

  std::vector<const record*> ServingOf(std::string_view zone) const;
  std::size_t ServingHostsOf(std::size_t zone_hosts) const;
  std::optional<std::string> NextToWatch();
  void Ping(record& host, time_point now, detector_actions& actions);
  void CheckPings(time_point now, detector_actions& actions);

  host_entry self_;
  random_source& random_;
  host_registry_options options_;
  record_map hosts_;
  std::optional<time_point> heard_any_;
  std::uint64_t steps_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEERS_HOST_REGISTRY_H_

#ifndef LIBRARIES_CALLER_DISCOVERY_CACHE_H_
#define LIBRARIES_CALLER_DISCOVERY_CACHE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"
#include "libraries/caller/caller_transport.h"

namespace bulrushshore {

struct discovered_host {
  std::string id;
  endpoint address;
  std::string zone;
  // Empty if the host did not tell its own.
  std::string key_prefix;

  bool operator==(const discovered_host&) const = default;
};

// The hosts that serve a service, best first.
struct host_list {
  std::uint64_t catalog_version = 0;
  std::vector<discovered_host> hosts;
  time_point fetched_at{};
};

using shared_host_list = std::shared_ptr<const host_list>;

// Finds the hosts of a service.
class host_resolver {
 public:
  virtual ~host_resolver() = default;

  // kNotFound if the service is unknown, kUnavailable if no host can be
  // asked. The list has at least one host. Thread safe.
  virtual result<shared_host_list> Resolve(std::string_view service) = 0;
};

// Always returns the same hosts. Thread safe.
class fixed_host_resolver : public host_resolver {
 public:
  explicit fixed_host_resolver(host_list hosts);

  result<shared_host_list> Resolve(std::string_view service) override;

 private:
  const shared_host_list hosts_;
};

// Asks hosts for the list of a service and keeps it for the time to live that
// the response states. While nobody can be asked, an old list stays in use.
// Thread safe.
class discovery_cache : public host_resolver {
 public:
  // `entry_hosts` are asked first. Precondition: `transport` and `time`
  // outlive this object; `entry_hosts` is not empty.
  discovery_cache(std::vector<endpoint> entry_hosts,
                  std::string zone,
                  caller_transport& transport,
                  const clock& time);

  result<shared_host_list> Resolve(std::string_view service) override;

 private:
  struct entry {
    // Held while one thread asks for a new list.
    std::mutex refresh_mutex;
    shared_host_list hosts;
    time_point stale_at{};
  };

  struct fetched_list {
    shared_host_list hosts;
    duration time_to_live{};
  };

  entry& FindOrAddEntry(std::string_view service);
  shared_host_list ListOf(const entry& cached, bool* is_fresh) const;
  result<shared_host_list> Refresh(std::string_view service, entry& cached);
  result<fetched_list> Fetch(std::string_view service,
                             const shared_host_list& previous);
  result<fetched_list> Ask(const endpoint& address, std::string_view service);
  std::vector<endpoint> AddressesToAsk(const shared_host_list& previous);

  const std::vector<endpoint> entry_hosts_;
  const std::string zone_;
  caller_transport& transport_;
  const clock& clock_;
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<entry>, std::less<>> entries_;
  std::size_t next_entry_host_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CALLER_DISCOVERY_CACHE_H_

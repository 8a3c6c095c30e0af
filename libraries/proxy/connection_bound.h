#ifndef LIBRARIES_PROXY_CONNECTION_BOUND_H_
#define LIBRARIES_PROXY_CONNECTION_BOUND_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "libraries/base/clock.h"
#include "libraries/catalog/types.h"
#include "libraries/membership/discovery_response.h"
#include "libraries/membership/host_directory.h"

namespace bulrushshore {

// Bounds the connections of this host to a target, so that all hosts together
// stay within what the target accepts. Thread safe.
class connection_bound {
 public:
  // Precondition: the references outlive this object.
  connection_bound(const snapshot_source& configuration,
                   const host_directory& directory,
                   const clock& source);

  // Returns the share of this host in the connections of `chosen`.
  std::size_t Of(const target& chosen);

 private:
  struct known_set {
    service_host_set hosts;
    time_point known_since;
  };

  service_host_set HostsOf(const std::string& service);

  const snapshot_source& configuration_;
  const host_directory& directory_;
  const clock& clock_;
  std::mutex mutex_;
  std::map<std::string, known_set> sets_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_CONNECTION_BOUND_H_

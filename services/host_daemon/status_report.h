#ifndef SERVICES_HOST_DAEMON_STATUS_REPORT_H_
#define SERVICES_HOST_DAEMON_STATUS_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/dispatch/service_status.h"
#include "libraries/membership/host_directory.h"

namespace bulrushshore {

// Returns the body of `GET /status`: this host, the fleet as it sees it and
// its services, as a JSON object. Thread safe.
std::string StatusReport(const host_directory& directory,
                         std::uint64_t catalog_version,
                         const std::vector<service_status>& services);

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_STATUS_REPORT_H_

#ifndef UTILITIES_OPERATOR_TOOL_HOST_POLLER_H_
#define UTILITIES_OPERATOR_TOOL_HOST_POLLER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"

namespace bulrushshore {

// What a host says about its configuration.
struct host_version {
  endpoint admin_address;
  // The version in force, if the host has ever answered.
  std::optional<std::uint64_t> catalog_version;
  // Why the last question was not answered; empty if it was.
  std::string fault;
};

struct host_poll_options {
  std::vector<endpoint> admin_addresses;
  // Hosts are done when they report this version or a higher one; 0 asks each
  // host once.
  std::uint64_t version = 0;
  // Bounds the whole poll.
  std::chrono::milliseconds timeout{5000};
};

// Asks the admin endpoint `GET /version` of each host for its catalog version
// until all hosts have the version or the time is over. Returns one entry a
// host, in the order of the addresses. Blocks. Thread safe.
std::vector<host_version> PollHosts(const host_poll_options& options,
                                    const clock& time_source);

}  // namespace bulrushshore

#endif  // UTILITIES_OPERATOR_TOOL_HOST_POLLER_H_

#ifndef LIBRARIES_BASE_ENDPOINT_H_
#define LIBRARIES_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/result.h"

namespace bulrushshore {

// An IPv4 or IPv6 address and a TCP port. Host names are not accepted, because
// the fleet runs without a name service.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

// Parses "IP:PORT" or "[IPV6]:PORT"; the port is 1 to 65535. Thread safe.
result<endpoint> ParseEndpoint(std::string_view text);

// Formats `value` so that ParseEndpoint() reads it back. Thread safe.
std::string FormatEndpoint(const endpoint& value);

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_ENDPOINT_H_

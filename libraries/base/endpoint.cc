#include "libraries/base/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace bulrushshore {
namespace {

error InvalidEndpoint(std::string_view text) {
  return error{error_code::kInvalidArgument,
               "expected IP:PORT with a numeric address, got \"" +
                   std::string(text) + "\""};
}

bool IsNumericAddress(const std::string& ip) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, ip.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), buffer.data()) == 1;
}

}  // namespace

result<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return InvalidEndpoint(text);
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  const bool is_bracketed =
      ip.size() >= 2 && ip.front() == '[' && ip.back() == ']';
  if (is_bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const bool is_ipv6 = ip.find(':') != std::string_view::npos;
  endpoint parsed{std::string(ip), 0};
  if (is_ipv6 != is_bracketed || !IsNumericAddress(parsed.ip)) {
    return InvalidEndpoint(text);
  }
  const char* const end = port_text.data() + port_text.size();
  const std::from_chars_result conversion =
      std::from_chars(port_text.data(), end, parsed.port);
  if (conversion.ec != std::errc() || conversion.ptr != end ||
      parsed.port == 0) {
    return InvalidEndpoint(text);
  }
  return parsed;
}

std::string FormatEndpoint(const endpoint& value) {
  const bool is_ipv6 = value.ip.find(':') != std::string::npos;
  const std::string ip = is_ipv6 ? "[" + value.ip + "]" : value.ip;
  return ip + ":" + std::to_string(value.port);
}

}  // namespace bulrushshore

#include "libraries/probing/http_probe_client.h"

#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

constexpr int kStatusOk = 200;
constexpr std::size_t kMaxBodyBytes = 4096;

bool SaysDraining(const httplib::Response& response) {
  if (response.get_header_value("X-Draining") == "1") {
    return true;
  }
  const nlohmann::json body =
      nlohmann::json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  return body.is_object() && body.contains("status") &&
         body["status"] == "draining";
}

}  // namespace

http_probe_client::http_probe_client(std::chrono::milliseconds timeout)
    : timeout_(timeout) {}

probe_outcome http_probe_client::Probe(const endpoint& address) {
  httplib::Client client(address.ip, address.port);
  client.set_connection_timeout(timeout_);
  client.set_read_timeout(timeout_);
  client.set_write_timeout(timeout_);
  client.set_tcp_nodelay(true);
  std::string body;
  httplib::Result received =
      client.Get("/health", [&body](const char* data, std::size_t size) {
        body.append(data, size);
        return body.size() <= kMaxBodyBytes;
      });
  if (!received) {
    return {};
  }
  received->body = body;
  return {received->status == kStatusOk, SaysDraining(*received)};
}

}  // namespace bulrushshore

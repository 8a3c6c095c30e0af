#include "libraries/probing/http_probe_client.h"

#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "libraries/http_client/client_connection.h"

namespace bulrushshore {
namespace {

constexpr int kStatusOk = 200;
constexpr std::size_t kMaxBodyBytes = 4096;

// Connecting and the response may each take the timeout.
constexpr int kWaits = 2;

bool SaysDraining(const proxy_response& response) {
  if (response.headers.Find("X-Draining") == "1") {
    return true;
  }
  const nlohmann::json body =
      nlohmann::json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  return body.is_object() && body.contains("status") &&
         body["status"] == "draining";
}

}  // namespace

http_probe_client::http_probe_client(const clock& source,
                                     std::chrono::milliseconds timeout)
    : clock_(source), timeout_(timeout) {}

probe_outcome http_probe_client::Probe(const endpoint& address) {
  exchange_limits limits;
  limits.connect_timeout = timeout_;
  limits.unacknowledged_timeout = std::chrono::milliseconds(0);
  limits.max_body_bytes = kMaxBodyBytes;
  limits.accepts_unframed = true;
  client_connection connection(address, limits, clock_);
  proxy_request request;
  request.method = "GET";
  request.target = "/health";
  request.headers.Add("Connection", "close");
  const time_point deadline = clock_.Now() + kWaits * timeout_;
  const std::variant<proxy_response, client_failure> outcome =
      connection.Exchange(request, deadline, kNoSocket);
  const proxy_response* response = std::get_if<proxy_response>(&outcome);
  if (response == nullptr) {
    return {};
  }
  return {response->status == kStatusOk, SaysDraining(*response)};
}

}  // namespace bulrushshore

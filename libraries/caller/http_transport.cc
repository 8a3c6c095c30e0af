#include "libraries/caller/http_transport.h"

#include <strings.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace bulrushshore {
namespace {

// Hosts close idle connections after 2 s; a request on a connection that is
// about to be closed would be lost.
constexpr std::chrono::milliseconds kMaxIdleTime(1500);
constexpr std::size_t kMaxIdleConnectionsPerHost = 256;

exchange_limits LimitsFor(duration connect_timeout) {
  exchange_limits limits;
  limits.connect_timeout = ToMilliseconds(connect_timeout);
  limits.unacknowledged_timeout = std::chrono::milliseconds(0);
  return limits;
}

transport_failure ToTransportFailure(client_failure failure) {
  switch (failure) {
    case client_failure::kConnectFailed:
      return transport_failure::kConnectFailed;
    case client_failure::kResponseTimeout:
      return transport_failure::kTimedOut;
    case client_failure::kNothingSent:
    case client_failure::kClosedBeforeResponse:
    case client_failure::kClosedDuringResponse:
    case client_failure::kCancelled:
    case client_failure::kResponseMalformed:
    case client_failure::kResponseTooLarge:
    case client_failure::kResponseUnframed:
      break;
  }
  return transport_failure::kConnectionLost;
}

proxy_request ToMessage(const transport_request& request) {
  proxy_request message;
  message.method = request.method;
  message.target = request.path;
  message.body = request.body;
  for (const std::pair<std::string, std::string>& header : request.headers) {
    message.headers.Add(header.first, header.second);
  }
  return message;
}

transport_response ToTransportResponse(proxy_response response) {
  transport_response converted;
  converted.status = response.status;
  for (const http_header& field : response.headers.fields()) {
    converted.headers.emplace_back(field.name, field.value);
  }
  converted.body = std::move(response.body);
  return converted;
}

}  // namespace

std::optional<std::string_view> FindHeader(const header_list& headers,
                                           std::string_view name) {
  const auto found = std::find_if(
      headers.begin(), headers.end(),
      [name](const std::pair<std::string, std::string>& header) {
        return header.first.size() == name.size() &&
               strncasecmp(header.first.data(), name.data(), name.size()) == 0;
      });
  if (found == headers.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::string_view TransportFailureName(transport_failure failure) {
  switch (failure) {
    case transport_failure::kConnectFailed:
      return "connect_failed";
    case transport_failure::kConnectionLost:
      return "connection_lost";
    case transport_failure::kTimedOut:
      return "timed_out";
  }
  return "connection_lost";
}

http_transport::http_transport(const clock& time, duration connect_timeout)
    : clock_(time), limits_(LimitsFor(connect_timeout)) {}

http_transport::~http_transport() = default;

transport_result http_transport::Exchange(const endpoint& address,
                                          const transport_request& request,
                                          duration timeout) {
  std::unique_ptr<client_connection> connection = TakeConnection(address);
  std::variant<proxy_response, client_failure> outcome = connection->Exchange(
      ToMessage(request), clock_.Now() + timeout, kNoSocket);
  if (const client_failure* failure = std::get_if<client_failure>(&outcome)) {
    return ToTransportFailure(*failure);
  }
  ReturnConnection(address, std::move(connection));
  return ToTransportResponse(std::get<proxy_response>(std::move(outcome)));
}

std::unique_ptr<client_connection> http_transport::TakeConnection(
    const endpoint& address) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<idle_connection>& idle =
        idle_connections_[FormatEndpoint(address)];
    if (!idle.empty() &&
        clock_.Now() - idle.back().idle_since >= kMaxIdleTime) {
      // The last one was returned latest, so that all others are older.
      idle.clear();
    }
    if (!idle.empty()) {
      std::unique_ptr<client_connection> connection =
          std::move(idle.back().connection);
      idle.pop_back();
      return connection;
    }
  }
  return std::make_unique<client_connection>(address, limits_, clock_);
}

void http_transport::ReturnConnection(
    const endpoint& address,
    std::unique_ptr<client_connection> connection) {
  if (!connection->IsReusable()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<idle_connection>& idle =
      idle_connections_[FormatEndpoint(address)];
  if (idle.size() < kMaxIdleConnectionsPerHost) {
    idle.push_back({std::move(connection), clock_.Now()});
  }
}

void sleeping_retry_timer::Wait(duration delay) {
  std::this_thread::sleep_for(delay);
}

}  // namespace bulrushshore

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
constexpr std::size_t kMaxIdleClientsPerHost = 256;

std::chrono::microseconds ToMicroseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

transport_failure ToFailure(httplib::Error error, bool is_out_of_time) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return transport_failure::kConnectFailed;
    default:
      return is_out_of_time ? transport_failure::kTimedOut
                            : transport_failure::kConnectionLost;
  }
}

bool HasBodyFraming(const httplib::Response& response) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return response.status == kNoContent || response.status == kNotModified ||
         response.has_header("Content-Length") ||
         response.has_header("Transfer-Encoding");
}

httplib::Request ToLibraryRequest(const transport_request& request) {
  httplib::Request converted;
  converted.method = request.method;
  converted.path = request.path;
  converted.body = request.body;
  for (const std::pair<std::string, std::string>& header : request.headers) {
    converted.headers.emplace(header.first, header.second);
  }
  return converted;
}

transport_response FromLibraryResponse(httplib::Response& response) {
  transport_response converted;
  converted.status = response.status;
  for (const std::pair<const std::string, std::string>& header :
       response.headers) {
    converted.headers.emplace_back(header.first, header.second);
  }
  converted.body = std::move(response.body);
  return converted;
}

}  // namespace

std::optional<std::string_view> FindHeader(const http_headers& headers,
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
    : clock_(time), connect_timeout_(connect_timeout) {}

http_transport::~http_transport() = default;

transport_result http_transport::Exchange(const endpoint& address,
                                          const transport_request& request,
                                          duration timeout) {
  const time_point deadline = clock_.Now() + timeout;
  std::unique_ptr<httplib::Client> client = TakeClient(address);
  client->set_connection_timeout(
      ToMicroseconds(std::min(timeout, connect_timeout_)));
  client->set_read_timeout(ToMicroseconds(timeout));
  client->set_write_timeout(ToMicroseconds(timeout));
  httplib::Request converted = ToLibraryRequest(request);
  // The read timeout applies to each read; this bounds the whole response.
  converted.progress = [this, deadline](std::uint64_t, std::uint64_t) {
    return clock_.Now() < deadline;
  };
  httplib::Response response;
  httplib::Error failure = httplib::Error::Success;
  const bool is_complete = client->send(converted, response, failure);
  if (!is_complete) {
    return ToFailure(failure, clock_.Now() >= deadline);
  }
  if (request.method != "HEAD" && !HasBodyFraming(response)) {
    return transport_failure::kConnectionLost;
  }
  ReturnClient(address, std::move(client));
  return FromLibraryResponse(response);
}

std::unique_ptr<httplib::Client> http_transport::TakeClient(
    const endpoint& address) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<idle_client>& idle = idle_clients_[FormatEndpoint(address)];
    if (!idle.empty() &&
        clock_.Now() - idle.back().idle_since >= kMaxIdleTime) {
      // The last one was returned latest, so that all others are older.
      idle.clear();
    }
    if (!idle.empty()) {
      std::unique_ptr<httplib::Client> client = std::move(idle.back().client);
      idle.pop_back();
      return client;
    }
  }
  std::unique_ptr<httplib::Client> client =
      std::make_unique<httplib::Client>(address.ip, address.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_url_encode(false);
  client->set_decompress(false);
  return client;
}

void http_transport::ReturnClient(const endpoint& address,
                                  std::unique_ptr<httplib::Client> client) {
  if (client->is_socket_open() == 0) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<idle_client>& idle = idle_clients_[FormatEndpoint(address)];
  if (idle.size() < kMaxIdleClientsPerHost) {
    idle.push_back({std::move(client), clock_.Now()});
  }
}

void sleeping_retry_timer::Wait(duration delay) {
  std::this_thread::sleep_for(delay);
}

}  // namespace bulrushshore

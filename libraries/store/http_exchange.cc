#include "libraries/store/http_exchange.h"

#include <httplib.h>

#include <charconv>
#include <utility>

namespace bulrushshore {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

// Parses the entity tag "VERSION" with its quotes.
std::optional<std::uint64_t> ParseVersionTag(std::string_view tag) {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  const std::string_view digits = tag.substr(1, tag.size() - 2);
  std::uint64_t version = 0;
  const char* const end = digits.data() + digits.size();
  const std::from_chars_result parsed =
      std::from_chars(digits.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
    return std::nullopt;
  }
  return version;
}

std::string MethodName(store_method method) {
  switch (method) {
    case store_method::kGet:
      return "GET";
    case store_method::kPut:
      return "PUT";
    case store_method::kDelete:
      return "DELETE";
  }
  return "GET";
}

// Collects a response body within its bounds of size and time.
class body_collector {
 public:
  body_collector(const clock& time_source,
                 time_point deadline,
                 std::size_t max_bytes)
      : time_source_(time_source), deadline_(deadline), max_bytes_(max_bytes) {}

  bool Add(const char* data, std::size_t size) {
    if (body_.size() + size > max_bytes_) {
      is_too_large_ = true;
      return false;
    }
    body_.append(data, size);
    return time_source_.Now() <= deadline_;
  }

  bool is_too_large() const { return is_too_large_; }
  std::string body() && { return std::move(body_); }

 private:
  const clock& time_source_;
  const time_point deadline_;
  const std::size_t max_bytes_;
  std::string body_;
  bool is_too_large_ = false;
};

httplib::Request ToLibraryRequest(const store_request& request,
                                  body_collector& collector) {
  httplib::Request sent;
  sent.method = MethodName(request.method);
  sent.path = request.path;
  for (const std::pair<const std::string, std::string>& header :
       request.headers) {
    sent.headers.emplace(header.first, header.second);
  }
  if (request.method == store_method::kPut) {
    sent.headers.emplace("Content-Type", "application/octet-stream");
  }
  sent.body = request.body;
  sent.content_receiver = [&collector](const char* data, std::size_t size,
                                       std::uint64_t, std::uint64_t) {
    return collector.Add(data, size);
  };
  return sent;
}

error TransportError(const http_store_options& options, httplib::Error cause) {
  const bool is_connected = cause != httplib::Error::Connection &&
                            cause != httplib::Error::ConnectionTimeout &&
                            cause != httplib::Error::BindIPAddress;
  return {is_connected ? error_code::kUnknownEffect : error_code::kUnavailable,
          "server at " + FormatEndpoint(options.address) + ": " +
              httplib::to_string(cause)};
}

}  // namespace

result<store_response> ExchangeHttp(const http_store_options& options,
                                    const clock& time_source,
                                    const store_request& request) {
  httplib::Client client(options.address.ip, options.address.port);
  client.set_connection_timeout(options.timeout);
  client.set_write_timeout(options.timeout);
  client.set_read_timeout(options.timeout + request.extra_wait);
  client.set_tcp_nodelay(true);
  client.set_keep_alive(false);
  const time_point deadline =
      time_source.Now() + options.timeout + request.extra_wait;
  body_collector collector(time_source, deadline, request.max_response_bytes);
  const httplib::Result received =
      client.send(ToLibraryRequest(request, collector));
  if (collector.is_too_large()) {
    return error{error_code::kDataLoss,
                 "response of the server is larger than " +
                     std::to_string(request.max_response_bytes) + " bytes"};
  }
  if (!received) {
    return TransportError(options, received.error());
  }
  store_response response;
  response.status_code = received->status;
  response.version = ParseVersionTag(received->get_header_value("ETag"));
  response.body = std::move(collector).body();
  if (response.status_code == kServiceUnavailable) {
    return error{
        error_code::kUnavailable,
        "server at " + FormatEndpoint(options.address) + " is out of service"};
  }
  if (response.status_code >= kFirstServerError) {
    return error{error_code::kUnknownEffect,
                 "server at " + FormatEndpoint(options.address) + " answered " +
                     std::to_string(response.status_code)};
  }
  return response;
}

}  // namespace bulrushshore

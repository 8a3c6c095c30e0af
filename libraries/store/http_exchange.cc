#include "libraries/store/http_exchange.h"

#include <charconv>
#include <utility>
#include <variant>

#include "libraries/http_client/client_connection.h"

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

proxy_request ToMessage(const store_request& request) {
  proxy_request message;
  message.method = MethodName(request.method);
  message.target = request.path;
  for (const std::pair<const std::string, std::string>& header :
       request.headers) {
    message.headers.Add(header.first, header.second);
  }
  if (request.method == store_method::kPut) {
    message.headers.Add("Content-Type", "application/octet-stream");
  }
  message.headers.Add("Connection", "close");
  message.body = request.body;
  return message;
}

error ToError(const http_store_options& options,
              const store_request& request,
              client_failure failure) {
  if (failure == client_failure::kResponseTooLarge) {
    return {error_code::kDataLoss,
            "response of the server is larger than " +
                std::to_string(request.max_response_bytes) + " bytes"};
  }
  return {failure == client_failure::kConnectFailed
              ? error_code::kUnavailable
              : error_code::kUnknownEffect,
          "server at " + FormatEndpoint(options.address) + ": " +
              std::string(ClientFailureName(failure))};
}

}  // namespace

result<store_response> ExchangeHttp(const http_store_options& options,
                                    const clock& time_source,
                                    const store_request& request) {
  exchange_limits limits;
  limits.connect_timeout = options.timeout;
  limits.unacknowledged_timeout = std::chrono::milliseconds(0);
  limits.max_body_bytes = request.max_response_bytes;
  limits.accepts_unframed = true;
  client_connection connection(options.address, limits, time_source);
  std::variant<proxy_response, client_failure> outcome = connection.Exchange(
      ToMessage(request),
      time_source.Now() + options.timeout + request.extra_wait, kNoSocket);
  if (const client_failure* failure = std::get_if<client_failure>(&outcome)) {
    return ToError(options, request, *failure);
  }
  proxy_response received = std::get<proxy_response>(std::move(outcome));
  store_response response;
  response.status_code = received.status;
  response.version =
      ParseVersionTag(received.headers.Find("ETag").value_or(""));
  response.body = std::move(received.body);
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

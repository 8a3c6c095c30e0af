#ifndef LIBRARIES_STORE_HTTP_EXCHANGE_H_
#define LIBRARIES_STORE_HTTP_EXCHANGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"

namespace bulrushshore {

// How to reach the platform's HTTP interface.
struct http_store_options {
  endpoint address;
  // Bounds connecting, sending, each wait for bytes of the response, and the
  // response as a whole.
  std::chrono::milliseconds timeout{2000};
};

enum class store_method { kGet, kPut, kDelete };

struct store_request {
  store_method method = store_method::kGet;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  // Time beyond the time-out that the server may take on purpose.
  std::chrono::milliseconds extra_wait{0};
  std::size_t max_response_bytes = 0;
};

struct store_response {
  int status_code = 0;
  // Version in the ETag header, if there is a valid one.
  std::optional<std::uint64_t> version;
  std::string body;
};

// Sends `request` on a connection of its own: an established connection can go
// silent for good, and the rate of store calls is low. kUnavailable if the
// request cannot have taken effect (no connection, or status 503),
// kUnknownEffect if it can (no complete response, or another status above 499),
// kDataLoss if the response is too large. Thread safe.
result<store_response> ExchangeHttp(const http_store_options& options,
                                    const clock& time_source,
                                    const store_request& request);

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_HTTP_EXCHANGE_H_

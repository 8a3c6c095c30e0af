#ifndef LIBRARIES_PROXY_REQUEST_HEAD_H_
#define LIBRARIES_PROXY_REQUEST_HEAD_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "libraries/http/http_message.h"
#include "libraries/proxy/outcome.h"

namespace bulrushshore {

inline constexpr std::size_t kMaxRequestHeadBytes = std::size_t{8} * 1024;

// The part of a request before its body.
struct request_head {
  // The body is empty here.
  proxy_request request;
  std::uint64_t content_length = 0;
  bool is_chunked = false;
  // The caller waits for "100 Continue" before it sends the body.
  bool expects_continue = false;
  bool is_keep_alive = true;
};

// Parses a request line and header fields, up to and including the empty line.
// Strict about everything that two parsers could read differently: any
// repeated or faulty Content-Length, Content-Length beside Transfer-Encoding,
// transfer codings other than "chunked", line folding, spaces before the
// colon, bare line feeds, control characters and a missing or repeated Host.
// Thread safe.
std::variant<request_head, failure_point> ParseRequestHead(
    std::string_view text);

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_REQUEST_HEAD_H_

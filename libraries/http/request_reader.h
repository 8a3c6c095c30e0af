#ifndef LIBRARIES_HTTP_REQUEST_READER_H_
#define LIBRARIES_HTTP_REQUEST_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "libraries/http/http_message.h"

namespace bulrushshore {

struct request_size_limits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint64_t max_body_bytes = 1'048'576;
};

// A whole request of a caller, with the headers that concern its connection
// removed.
struct received_request {
  proxy_request request;
  bool is_keep_alive = true;
};

// A request that is answered with `status` and ends its connection, because
// the bytes behind it cannot be told apart from it.
struct request_fault {
  int status = 400;
  std::string reason;
};

// Nothing to report until more bytes arrive.
struct more_bytes_needed {};

using request_read_result =
    std::variant<more_bytes_needed, received_request, request_fault>;

// Splits the bytes of one caller connection into HTTP/1.1 requests. Refuses
// whatever two parsers could frame differently. Not thread safe.
class request_reader {
 public:
  explicit request_reader(const request_size_limits& limits);
  ~request_reader();
  request_reader(const request_reader&) = delete;
  request_reader& operator=(const request_reader&) = delete;

  void Append(std::string_view bytes) { buffer_.append(bytes); }

  // Returns the next request. After a fault every further call returns it
  // again.
  request_read_result Next();

  // Returns true once for each request that waits for "100 Continue" before it
  // sends its body.
  bool TakeContinueRequest();

  // Returns true if a part of a request has been received.
  bool IsMidRequest() const;

  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  struct parser_state;

  request_read_result Fail(int status, std::string_view reason);

  request_size_limits limits_;
  std::string buffer_;
  std::unique_ptr<parser_state> state_;
  std::variant<std::monostate, request_fault> fault_;
  bool wants_continue_ = false;
  bool has_sent_continue_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_REQUEST_READER_H_

#ifndef LIBRARIES_HTTP_RESPONSE_READER_H_
#define LIBRARIES_HTTP_RESPONSE_READER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/http/http_message.h"

namespace bulrushshore {

// A whole response, with the headers that concern its connection removed.
struct received_response {
  proxy_response response;
  bool is_keep_alive = true;
  // How long the sender keeps the idle connection open, if it says so.
  std::optional<std::chrono::seconds> keep_alive_timeout;
  // The length that the header states, also if the response has no body.
  std::optional<std::uint64_t> stated_length;
};

enum class response_read_state { kIncomplete, kComplete, kMalformed };

// Reads the responses of one connection, one after the other. Not thread safe.
class response_reader {
 public:
  static constexpr std::uint32_t kMaxHeaderBytes = 65'536;

  // A response with a longer body, stated or received, or a longer header is
  // malformed.
  explicit response_reader(std::uint64_t max_body_bytes,
                           std::uint32_t max_header_bytes = kMaxHeaderBytes);
  ~response_reader();
  response_reader(const response_reader&) = delete;
  response_reader& operator=(const response_reader&) = delete;

  // Prepares for the next response. `is_head` says that it has no body.
  void Start(bool is_head);

  // Takes bytes of the connection. Interim (1xx) responses are passed over; too
  // many of them count as malformed.
  // Precondition: Start() was called, and no response is complete.
  response_read_state Feed(std::string_view bytes);

  // Looks for a further response in the bytes behind a taken one.
  // Precondition: Start() was called after TakeResponse().
  response_read_state FeedBuffered() { return Feed({}); }

  // The connection ended in order, which completes a response without length.
  response_read_state FinishAtEnd();

  // Returns true if the response is malformed because it exceeds a limit.
  bool IsTooLarge() const { return is_too_large_; }

  // Returns true if the header was read and states no length, so that only the
  // end of the connection completes the response.
  bool EndsWithConnection() const;

  // Returns the response. Precondition: the state is kComplete.
  received_response TakeResponse();

  // Returns true if bytes arrived behind the last complete response.
  bool HasExtraBytes() const { return !buffer_.empty(); }

  // Returns the number of bytes of the present response that are held.
  std::size_t BufferedBytes() const;

  // Returns true if a part of the present response has arrived.
  bool HasStarted() const { return has_started_; }

 private:
  struct parser_state;

  bool IsInterim() const;
  // Returns true if the status is one that a response without an upgrade of the
  // connection can have. Precondition: the header was read.
  bool IsStatusValid() const;
  // Returns true if the header states where the response ends, in the one way
  // that fits its status. Precondition: the header was read.
  bool IsFramingValid() const;
  // Returns true if the header states a body that exceeds the limit.
  // Precondition: the header was read.
  bool IsStatedBodyTooLong() const;
  // Returns true if the header states a body that a response to HEAD or with
  // status 304 does not have. Precondition: the header was read.
  bool StatesAbsentBody() const;
  // Precondition: the header was read.
  void CopyHeaders();
  void ResetParser();

  std::uint64_t max_body_bytes_;
  std::uint32_t max_header_bytes_;
  bool is_head_ = false;
  bool has_started_ = false;
  bool is_too_large_ = false;
  int interim_responses_ = 0;
  std::string buffer_;
  std::unique_ptr<parser_state> state_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_RESPONSE_READER_H_

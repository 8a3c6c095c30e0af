#include "libraries/http/response_reader.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "libraries/http/growing_body.h"

namespace bulrushshore {
namespace {

namespace beast_http = boost::beast::http;
using beast_response_parser = beast_http::response_parser<growing_body>;

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kHttp11 = 11;

// A response is preceded by one or two interim responses at most. More of them
// are a sender that does not stop.
constexpr int kMaxInterimResponses = 16;

// Longest time that a connection is taken to stay open. Keeps sums of durations
// from overflowing.
constexpr std::int64_t kMaxKeepAliveSeconds = 86'400;

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::optional<std::chrono::seconds> ParseKeepAliveTimeout(
    std::string_view value) {
  constexpr std::string_view kParameter = "timeout=";
  const std::size_t start = value.find(kParameter);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(start + kParameter.size());
  std::int64_t seconds = 0;
  const std::from_chars_result parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::min(seconds, kMaxKeepAliveSeconds));
}

}  // namespace

struct response_reader::parser_state {
  beast_response_parser parser;
  // The parser adds the trailer fields of a chunked body to its own copy.
  http_headers headers;
};

response_reader::response_reader(std::uint64_t max_body_bytes,
                                 std::uint32_t max_header_bytes)
    : max_body_bytes_(max_body_bytes), max_header_bytes_(max_header_bytes) {}

response_reader::~response_reader() = default;

void response_reader::Start(bool is_head) {
  is_head_ = is_head;
  has_started_ = false;
  is_too_large_ = false;
  interim_responses_ = 0;
  ResetParser();
}

void response_reader::ResetParser() {
  state_ = std::make_unique<parser_state>();
  // The parser stops behind the header, so that the stated length can be
  // checked before the body is read: in eager mode it goes on after it has
  // noticed that the length exceeds body_limit().
  state_->parser.eager(false);
  state_->parser.header_limit(max_header_bytes_);
  state_->parser.body_limit(max_body_bytes_);
  state_->parser.skip(is_head_);
}

bool response_reader::IsInterim() const {
  return state_->parser.is_header_done() &&
         state_->parser.get().result_int() < kFirstFinalStatus;
}

bool response_reader::IsStatusValid() const {
  // Requests ask for no upgrade, so no protocol can follow 101.
  const unsigned status = state_->parser.get().result_int();
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols;
}

bool response_reader::IsFramingValid() const {
  const beast_http::response<growing_body>& head = state_->parser.get();
  const std::size_t codings = head.count(beast_http::field::transfer_encoding);
  const bool has_body_by_status =
      !IsInterim() && head.result_int() != kNoContent;
  if (!has_body_by_status) {
    return codings == 0 && state_->parser.content_length().value_or(0) == 0;
  }
  // The parser takes a body in a coding that it does not know as it is, up to
  // the stated length or the end of the connection.
  return codings == 0 ||
         (codings == 1 && head.version() >= kHttp11 &&
          EqualsIgnoringCase(
              ToStringView(head[beast_http::field::transfer_encoding]),
              "chunked"));
}

bool response_reader::IsStatedBodyTooLong() const {
  const boost::optional<std::uint64_t> stated = state_->parser.content_length();
  return !state_->parser.is_done() && stated && *stated > max_body_bytes_;
}

response_read_state response_reader::Feed(std::string_view bytes) {
  assert(state_);
  buffer_.append(bytes);
  while (!buffer_.empty()) {
    has_started_ = true;
    boost::beast::error_code error;
    const std::size_t used = state_->parser.put(
        boost::asio::const_buffer(buffer_.data(), buffer_.size()), error);
    buffer_.erase(0, used);
    if (error == beast_http::error::need_more) {
      return response_read_state::kIncomplete;
    }
    if (error) {
      is_too_large_ = error == beast_http::error::header_limit ||
                      error == beast_http::error::body_limit;
      return response_read_state::kMalformed;
    }
    if (state_->parser.is_header_done() && !state_->parser.eager()) {
      is_too_large_ = IsStatedBodyTooLong();
      if (!IsStatusValid() || !IsFramingValid() || is_too_large_) {
        return response_read_state::kMalformed;
      }
      state_->parser.eager(true);
      CopyHeaders();
    }
    if (IsInterim()) {
      if (++interim_responses_ > kMaxInterimResponses) {
        return response_read_state::kMalformed;
      }
      ResetParser();
      continue;
    }
    if (state_->parser.is_done()) {
      return response_read_state::kComplete;
    }
    if (used == 0) {
      break;
    }
  }
  return response_read_state::kIncomplete;
}

bool response_reader::StatesAbsentBody() const {
  const beast_response_parser& parser = state_->parser;
  return (is_head_ || parser.get().result_int() == kNotModified) &&
         (parser.chunked() || parser.content_length().value_or(0) > 0);
}

void response_reader::CopyHeaders() {
  for (const beast_http::fields::value_type& field :
       state_->parser.get().base()) {
    state_->headers.Add(ToStringView(field.name_string()),
                        ToStringView(field.value()));
  }
}

std::size_t response_reader::BufferedBytes() const {
  const std::size_t body_bytes =
      state_ ? state_->parser.get().body().size() : 0;
  return buffer_.size() + body_bytes;
}

bool response_reader::EndsWithConnection() const {
  return state_ && state_->parser.is_header_done() &&
         !state_->parser.is_done() && state_->parser.need_eof();
}

response_read_state response_reader::FinishAtEnd() {
  assert(state_);
  if (!state_->parser.is_header_done()) {
    return response_read_state::kMalformed;
  }
  boost::beast::error_code error;
  state_->parser.put_eof(error);
  return error || !state_->parser.is_done() ? response_read_state::kMalformed
                                            : response_read_state::kComplete;
}

received_response response_reader::TakeResponse() {
  received_response received;
  // A sender that does send the body would have it read as its next response.
  received.is_keep_alive = state_->parser.keep_alive() && !StatesAbsentBody();
  if (const boost::optional<std::uint64_t> stated =
          state_->parser.content_length()) {
    received.stated_length = *stated;
  }
  received.response.headers = std::move(state_->headers);
  beast_http::response<growing_body> message = state_->parser.release();
  state_.reset();
  received.response.status = static_cast<int>(message.result_int());
  received.keep_alive_timeout = ParseKeepAliveTimeout(
      received.response.headers.Find("Keep-Alive").value_or(""));
  RemoveHopByHopHeaders(received.response.headers);
  received.response.body = std::move(message.body());
  return received;
}

}  // namespace bulrushshore

#include "libraries/http/request_reader.h"

#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "libraries/http/growing_body.h"

namespace bulrushshore {
namespace {

namespace beast_http = boost::beast::http;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr int kNotImplemented = 501;

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

int StatusOfParserError(const boost::beast::error_code& error) {
  if (error == beast_http::error::header_limit) {
    return kHeaderFieldsTooLarge;
  }
  if (error == beast_http::error::body_limit) {
    return kPayloadTooLarge;
  }
  return kBadRequest;
}

bool IsOriginForm(std::string_view target) {
  return target.starts_with('/') && target.find('#') == std::string_view::npos;
}

}  // namespace

struct request_reader::parser_state {
  beast_http::request_parser<growing_body> parser;
  bool is_header_checked = false;
};

request_reader::request_reader(const request_size_limits& limits)
    : limits_(limits) {}

request_reader::~request_reader() = default;

request_read_result request_reader::Fail(int status, std::string_view reason) {
  const request_fault fault{status, std::string(reason)};
  fault_ = fault;
  return fault;
}

request_read_result request_reader::Next() {
  if (const request_fault* fault = std::get_if<request_fault>(&fault_)) {
    return *fault;
  }
  if (!state_) {
    if (buffer_.empty()) {
      return more_bytes_needed{};
    }
    state_ = std::make_unique<parser_state>();
    state_->parser.eager(true);
    state_->parser.header_limit(limits_.max_header_bytes);
    state_->parser.body_limit(limits_.max_body_bytes);
    has_sent_continue_ = false;
  }
  beast_http::request_parser<growing_body>& parser = state_->parser;
  boost::beast::error_code error;
  const std::size_t used = parser.put(
      boost::asio::const_buffer(buffer_.data(), buffer_.size()), error);
  buffer_.erase(0, used);
  if (error && error != beast_http::error::need_more) {
    return Fail(StatusOfParserError(error), error.message());
  }
  if (parser.is_header_done() && !state_->is_header_checked) {
    state_->is_header_checked = true;
    const beast_http::fields& fields = parser.get();
    if (fields.count(beast_http::field::host) > 1 ||
        fields.count(beast_http::field::content_length) > 1) {
      return Fail(kBadRequest, "repeated Host or Content-Length");
    }
    if (fields.count(beast_http::field::transfer_encoding) > 0 &&
        !EqualsIgnoringCase(
            ToStringView(fields[beast_http::field::transfer_encoding]),
            "chunked")) {
      return Fail(kNotImplemented, "unsupported transfer coding");
    }
    if (!IsOriginForm(ToStringView(parser.get().target()))) {
      return Fail(kBadRequest, "request target is not in origin form");
    }
    wants_continue_ = EqualsIgnoringCase(
        ToStringView(fields[beast_http::field::expect]), "100-continue");
  }
  if (!parser.is_done()) {
    return more_bytes_needed{};
  }
  received_request received;
  received.is_keep_alive = parser.keep_alive();
  beast_http::request<growing_body> message = parser.release();
  state_.reset();
  wants_continue_ = false;
  received.request.method = std::string(ToStringView(message.method_string()));
  received.request.target = std::string(ToStringView(message.target()));
  for (const beast_http::fields::value_type& field : message.base()) {
    received.request.headers.Add(ToStringView(field.name_string()),
                                 ToStringView(field.value()));
  }
  RemoveHopByHopHeaders(received.request.headers);
  received.request.headers.Remove("Expect");
  received.request.body = std::move(message.body());
  return received;
}

bool request_reader::TakeContinueRequest() {
  if (!wants_continue_ || has_sent_continue_) {
    return false;
  }
  has_sent_continue_ = true;
  return true;
}

bool request_reader::IsMidRequest() const {
  return state_ != nullptr || !buffer_.empty();
}

}  // namespace bulrushshore

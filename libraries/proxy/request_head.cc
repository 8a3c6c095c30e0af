#include "libraries/proxy/request_head.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>

namespace bulrushshore {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::array<std::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

using failure = std::optional<failure_point>;

bool IsTokenCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(character) !=
             std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    constexpr unsigned char kSpace = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    const unsigned char value = static_cast<unsigned char>(character);
    return character == '\t' || (value >= kSpace && value != kDelete);
  });
}

// Takes the text up to the next CRLF from `rest`.
std::optional<std::string_view> TakeLine(std::string_view& rest) {
  const std::size_t end = rest.find(kLineEnd);
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(end + kLineEnd.size());
  return line;
}

failure ParseRequestLine(std::string_view line, request_head& head) {
  const std::size_t first = line.find(' ');
  const std::size_t second = line.rfind(' ');
  if (first == std::string_view::npos || second <= first + 1) {
    return failure_point::kMalformedRequest;
  }
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, second - first - 1);
  const std::string_view version = line.substr(second + 1);
  const bool is_http_1_0 = version == "HTTP/1.0";
  if (!IsToken(method) || target.find(' ') != std::string_view::npos ||
      (!is_http_1_0 && version != "HTTP/1.1")) {
    return failure_point::kMalformedRequest;
  }
  if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
    return failure_point::kMethodNotSupported;
  }
  head.request.method = method;
  head.request.target = target;
  // Persistent connections of HTTP/1.0 are an extension that is not needed.
  head.is_keep_alive = !is_http_1_0;
  return std::nullopt;
}

failure ParseField(std::string_view line, request_head& head) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return failure_point::kMalformedRequest;
  }
  // A folded line starts with white space, which is no token character.
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = TrimWhitespace(line.substr(colon + 1));
  if (!IsToken(name) || !IsFieldValue(value)) {
    return failure_point::kMalformedRequest;
  }
  head.request.headers.Add(name, value);
  return std::nullopt;
}

failure InterpretLength(request_head& head) {
  const http_headers& headers = head.request.headers;
  const std::size_t lengths = headers.Count("Content-Length");
  const std::size_t codings = headers.Count("Transfer-Encoding");
  if (lengths > 1 || codings > 1 || lengths + codings > 1) {
    return failure_point::kMalformedRequest;
  }
  if (codings == 1) {
    if (!EqualsIgnoringCase(*headers.Find("Transfer-Encoding"), "chunked") ||
        !head.is_keep_alive) {
      return failure_point::kMalformedRequest;
    }
    head.is_chunked = true;
  }
  if (lengths == 1) {
    const std::optional<std::uint64_t> length =
        ParseDecimal(*headers.Find("Content-Length"));
    if (!length.has_value()) {
      return failure_point::kMalformedRequest;
    }
    head.content_length = *length;
  }
  return std::nullopt;
}

failure InterpretFields(request_head& head) {
  const http_headers& headers = head.request.headers;
  const failure length_failure = InterpretLength(head);
  if (length_failure.has_value()) {
    return length_failure;
  }
  const std::size_t hosts = headers.Count("Host");
  if (hosts > 1 || (hosts == 0 && head.is_keep_alive)) {
    return failure_point::kMalformedRequest;
  }
  const std::optional<std::string> expectation = headers.Find("Expect");
  if (expectation.has_value()) {
    if (!EqualsIgnoringCase(*expectation, "100-continue")) {
      return failure_point::kMalformedRequest;
    }
    head.expects_continue = true;
  }
  for (const http_header& field : headers.fields()) {
    if (EqualsIgnoringCase(field.name, "Connection") &&
        HasListElement(field.value, "close")) {
      head.is_keep_alive = false;
    }
  }
  return std::nullopt;
}

failure ParseInto(std::string_view text, request_head& head) {
  std::optional<std::string_view> line = TakeLine(text);
  if (!line.has_value()) {
    return failure_point::kMalformedRequest;
  }
  const failure line_failure = ParseRequestLine(*line, head);
  if (line_failure.has_value()) {
    return line_failure;
  }
  while (true) {
    line = TakeLine(text);
    if (!line.has_value()) {
      return failure_point::kMalformedRequest;
    }
    if (line->empty()) {
      break;
    }
    const failure field_failure = ParseField(*line, head);
    if (field_failure.has_value()) {
      return field_failure;
    }
  }
  return InterpretFields(head);
}

}  // namespace

std::variant<request_head, failure_point> ParseRequestHead(
    std::string_view text) {
  if (text.size() > kMaxRequestHeadBytes) {
    return failure_point::kHeadTooLarge;
  }
  request_head head;
  const failure found = ParseInto(text, head);
  if (found.has_value()) {
    return *found;
  }
  return head;
}

}  // namespace bulrushshore

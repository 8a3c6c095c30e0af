#include "libraries/http/message_writer.h"

#include <algorithm>

namespace bulrushshore {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// A line end within a value would start a header of its own.
bool IsSingleLine(const http_header& field) {
  return std::none_of(
      field.value.begin(), field.value.end(), [](char character) {
        return character == '\r' || character == '\n' || character == '\0';
      });
}

void AppendHeaders(const http_headers& headers, std::string& message) {
  for (const http_header& field : headers.fields()) {
    if (IsSingleLine(field)) {
      message += field.name + ": " + field.value + "\r\n";
    }
  }
}

bool MayHaveRequestBody(std::string_view method) {
  return method != "GET" && method != "HEAD";
}

}  // namespace

std::string SerializeRequest(const proxy_request& request) {
  std::string message = request.method + " " + request.target + " HTTP/1.1\r\n";
  AppendHeaders(request.headers, message);
  if (!request.body.empty() || MayHaveRequestBody(request.method)) {
    message +=
        "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return message + "\r\n" + request.body;
}

std::string SerializeResponse(const proxy_response& response,
                              std::string_view method,
                              bool closes_connection) {
  // The reason phrase is optional and carries no meaning (RFC 9112, section 4).
  std::string message = "HTTP/1.1 " + std::to_string(response.status) + " \r\n";
  AppendHeaders(response.headers, message);
  const bool has_no_body = method == "HEAD" || response.status == kNoContent ||
                           response.status == kNotModified;
  if (!has_no_body) {
    message +=
        "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  }
  if (closes_connection) {
    message += "Connection: close\r\n";
  }
  message += "\r\n";
  if (!has_no_body) {
    message += response.body;
  }
  return message;
}

}  // namespace bulrushshore

#include <variant>

#include "libraries/proxy/request_head.h"
#include "libraries/routing/request_target.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

void CheckTarget(const std::string& text) {
  const result<request_target> target = ParseRequestTarget(text);
  if (!IsOk(target)) {
    return;
  }
  const result<request_target> again =
      ParseRequestTarget(ValueOf(target).ToString());
  Require(IsOk(again) && ValueOf(again) == ValueOf(target),
          "a normalized target stays as it is");
}

// A client of HTTP/1.0 may send no Host (RFC 9112, section 3.2).
void CheckHost(std::string_view text, const http_headers& headers) {
  const bool is_http_1_0 = text.substr(0, text.find("\r\n")).ends_with("/1.0");
  const std::size_t hosts = headers.Count("Host");
  Require(hosts == 1 || (hosts == 0 && is_http_1_0), "a head has one Host");
}

void CheckFraming(const request_head& head) {
  const http_headers& headers = head.request.headers;
  const std::size_t lengths = headers.Count("Content-Length");
  const std::size_t codings = headers.Count("Transfer-Encoding");
  Require(lengths + codings <= 1, "a head states one length at most");
  Require(head.is_chunked == (codings == 1), "only a coding makes it chunked");
  Require(head.content_length == 0 || lengths == 1,
          "only Content-Length gives a length");
}

void CheckFields(const http_headers& headers) {
  for (const http_header& field : headers.fields()) {
    Require(!field.name.empty(), "a field has a name");
    Require(field.name.find_first_of("\r\n\t :") == std::string::npos,
            "a field name has no separator");
    Require(field.value.find_first_of(std::string_view("\r\n\0", 3)) ==
                std::string::npos,
            "a field value is one line");
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = FuzzText(data, size);
  const std::variant<request_head, failure_point> parsed =
      ParseRequestHead(text);
  if (const request_head* head = std::get_if<request_head>(&parsed)) {
    CheckHost(text, head->request.headers);
    CheckFraming(*head);
    CheckFields(head->request.headers);
    CheckTarget(head->request.target);
  }
  return 0;
}

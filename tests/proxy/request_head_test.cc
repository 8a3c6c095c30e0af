#include "libraries/proxy/request_head.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

std::string Head(std::string_view fields,
                 std::string_view line = "POST /a HTTP/1.1") {
  return std::string(line) + "\r\nHost: h\r\n" + std::string(fields) + "\r\n";
}

// Guards against requests that two servers split differently (smuggling).
TEST(RequestHeadTest, RejectsAmbiguousFraming) {
  for (const std::string& text :
       {Head("Content-Length: 3\r\nContent-Length: 4\r\n"),
        Head("Content-Length: 3\r\nContent-Length: 3\r\n"),
        Head("Content-Length: 3, 3\r\n"),
        Head("Content-Length: +3\r\n"),
        Head("Content-Length: -1\r\n"),
        Head("Content-Length: 0x3\r\n"),
        Head("Content-Length:\r\n"),
        Head("Content-Length: 18446744073709551616\r\n"),
        Head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        Head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        Head("Transfer-Encoding: gzip, chunked\r\n"),
        Head("Transfer-Encoding: xchunked\r\n"),
        Head("Transfer-Encoding: \vchunked\r\n"),
        Head("Transfer-Encoding : chunked\r\n"),
        Head("X-A: b\r\n Content-Length: 3\r\n"),
        Head("X-A: b\r\n\tc\r\n"),
        Head("X-A: b\nContent-Length: 3\r\n"),
        Head("X-A: b\rc\r\n"),
        Head(std::string("X-A: b\0c\r\n", 10)),
        Head("X A: b\r\n"),
        Head(": b\r\n"),
        Head("no-colon\r\n"),
        Head("Host: other\r\n"),
        Head("Transfer-Encoding: chunked\r\n", "POST /a HTTP/1.0"),
        Head("", "POST /a HTTP/1.2"),
        Head("", "POST /a  HTTP/1.1"),
        Head("", "POST /a"),
        Head("", " POST /a HTTP/1.1"),
        Head("", "POST /a b HTTP/1.1"),
        Head("Expect: other\r\n"),
        std::string("GET / HTTP/1.1\r\n\r\n")}) {
    const std::variant<request_head, failure_point> parsed =
        ParseRequestHead(text);
    ASSERT_TRUE(std::holds_alternative<failure_point>(parsed)) << text;
    EXPECT_EQ(std::get<failure_point>(parsed),
              failure_point::kMalformedRequest);
  }
}

// Guards against a valid request that is refused or read wrongly.
TEST(RequestHeadTest, ReadsAValidHead) {
  const std::variant<request_head, failure_point> parsed = ParseRequestHead(
      Head("content-length: 12\r\nX-A:  b c \t\r\nConnection: x, Close\r\n"));
  ASSERT_TRUE(std::holds_alternative<request_head>(parsed));
  const request_head& head = std::get<request_head>(parsed);
  EXPECT_EQ(head.request.method, "POST");
  EXPECT_EQ(head.request.target, "/a");
  EXPECT_EQ(head.content_length, 12U);
  EXPECT_EQ(head.request.headers.Find("x-a"), "b c");
  EXPECT_FALSE(head.is_keep_alive);
  EXPECT_FALSE(head.is_chunked);
}

// Guards against methods that open tunnels or echo headers.
TEST(RequestHeadTest, RefusesOtherMethods) {
  for (const std::string_view line :
       {"CONNECT /a HTTP/1.1", "TRACE /a HTTP/1.1", "get /a HTTP/1.1"}) {
    const std::variant<request_head, failure_point> parsed =
        ParseRequestHead(Head("", line));
    ASSERT_TRUE(std::holds_alternative<failure_point>(parsed));
    EXPECT_EQ(std::get<failure_point>(parsed),
              failure_point::kMethodNotSupported);
  }
}

// Guards against hop-by-hop headers that reach the other side.
TEST(HopByHopHeadersTest, RemovesAlsoWhatConnectionNames) {
  http_headers headers;
  for (const std::string_view name :
       {"Keep-Alive", "TE", "Upgrade", "Transfer-Encoding", "Content-Length",
        "X-Named", "X-Kept"}) {
    headers.Add(name, "1");
  }
  headers.Add("Connection", "close");
  headers.Add("connection", " x-named ,keep-alive");
  RemoveHopByHopHeaders(headers);
  ASSERT_EQ(headers.fields().size(), 1U);
  EXPECT_EQ(headers.fields()[0].name, "X-Kept");
}

}  // namespace
}  // namespace bulrushshore

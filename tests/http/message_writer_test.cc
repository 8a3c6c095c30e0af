#include "libraries/http/message_writer.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

TEST(MessageWriterTest, FramesRequestsByLength) {
  proxy_request request{"POST", "/a", {}, "xyz"};
  request.headers.Add("Host", "h");
  EXPECT_EQ(SerializeRequest(request),
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
  EXPECT_EQ(SerializeRequest({"GET", "/a", {}, ""}), "GET /a HTTP/1.1\r\n\r\n");
}

TEST(MessageWriterTest, AnnouncesTheEndOfTheConnection) {
  proxy_response response{200, {}, "ab"};
  EXPECT_EQ(
      SerializeResponse(response, "GET", true),
      "HTTP/1.1 200 \r\nContent-Length: 2\r\nConnection: close\r\n\r\nab");
}

TEST(MessageWriterTest, SendsNoBodyToHead) {
  proxy_response response{200, {}, "ab"};
  EXPECT_EQ(SerializeResponse(response, "HEAD", false),
            "HTTP/1.1 200 \r\n\r\n");
}

// A line end in a header value would start another header or response.
TEST(MessageWriterTest, DropsHeadersWithLineEnds) {
  proxy_response response{200, {}, ""};
  response.headers.Add("X", "a\r\nSet-Cookie: b");
  EXPECT_EQ(SerializeResponse(response, "GET", false),
            "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n");
}

}  // namespace
}  // namespace bulrushshore

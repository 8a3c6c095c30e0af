#include "libraries/http/request_reader.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr char kGet[] = "GET /a/b?c=d HTTP/1.1\r\nHost: x.example\r\n\r\n";

request_read_result ReadAll(std::string_view bytes) {
  request_reader reader({});
  reader.Append(bytes);
  return reader.Next();
}

int FaultStatus(const request_read_result& outcome) {
  const request_fault* fault = std::get_if<request_fault>(&outcome);
  return fault ? fault->status : 0;
}

TEST(RequestReaderTest, KeepsMethodTargetHeadersAndBodyUnchanged) {
  const request_read_result outcome = ReadAll(
      "POST /x/%2e?q=1 HTTP/1.1\r\nHost: h\r\nX-Thing: a b\r\n"
      "Content-Length: 3\r\n\r\nabc");
  const received_request& received = std::get<received_request>(outcome);
  EXPECT_EQ(received.request.method, "POST");
  EXPECT_EQ(received.request.target, "/x/%2e?q=1");
  EXPECT_EQ(received.request.headers.Find("X-Thing"), "a b");
  EXPECT_EQ(received.request.body, "abc");
  EXPECT_TRUE(received.is_keep_alive);
}

TEST(RequestReaderTest, RemovesHeadersOfTheConnection) {
  const request_read_result outcome = ReadAll(
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
      "Keep-Alive: timeout=3\r\n\r\n");
  const received_request& received = std::get<received_request>(outcome);
  EXPECT_FALSE(received.is_keep_alive);
  EXPECT_FALSE(received.request.headers.Find("X-Hop"));
  EXPECT_FALSE(received.request.headers.Find("Keep-Alive"));
}

TEST(RequestReaderTest, ReadsRequestsThatArriveInSingleBytes) {
  request_reader reader({});
  const std::string bytes =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (std::size_t index = 0; index + 1 < bytes.size(); ++index) {
    reader.Append(bytes.substr(index, 1));
    ASSERT_TRUE(std::holds_alternative<more_bytes_needed>(reader.Next()));
  }
  reader.Append(bytes.substr(bytes.size() - 1));
  const request_read_result outcome = reader.Next();
  EXPECT_EQ(std::get<received_request>(outcome).request.body, "abcde");
  EXPECT_FALSE(reader.IsMidRequest());
}

TEST(RequestReaderTest, SeparatesPipelinedRequests) {
  request_reader reader({});
  reader.Append(std::string(kGet) + kGet + "GET /last");
  EXPECT_TRUE(std::holds_alternative<received_request>(reader.Next()));
  EXPECT_TRUE(std::holds_alternative<received_request>(reader.Next()));
  EXPECT_TRUE(std::holds_alternative<more_bytes_needed>(reader.Next()));
  EXPECT_TRUE(reader.IsMidRequest());
}

// A request that two parsers frame differently smuggles a second one.
TEST(RequestReaderTest, RefusesAmbiguousFraming) {
  const std::vector<std::string> heads = {
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nContent-Length: 3\r\n",
      "Content-Length: +3\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding : chunked\r\n",
  };
  for (const std::string& head : heads) {
    EXPECT_NE(FaultStatus(ReadAll("POST / HTTP/1.1\r\nHost: h\r\n" + head +
                                  "\r\nabcd")),
              0)
        << head;
  }
}

TEST(RequestReaderTest, RefusesRepeatedHostAndAbsoluteForm) {
  EXPECT_EQ(
      FaultStatus(ReadAll("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")),
      400);
  EXPECT_EQ(FaultStatus(ReadAll("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n")),
            400);
}

TEST(RequestReaderTest, EnforcesSizeLimits) {
  request_reader large_body({.max_header_bytes = 1000, .max_body_bytes = 4});
  large_body.Append(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
  EXPECT_EQ(FaultStatus(large_body.Next()), 413);
  request_reader large_head({.max_header_bytes = 64, .max_body_bytes = 4});
  large_head.Append("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(100, 'x') +
                    "\r\n\r\n");
  EXPECT_EQ(FaultStatus(large_head.Next()), 431);
}

// Whatever follows a faulty request cannot be told apart from it.
TEST(RequestReaderTest, StaysFaultyAfterAFault) {
  request_reader reader({});
  reader.Append("nonsense\r\n\r\n");
  EXPECT_EQ(FaultStatus(reader.Next()), 400);
  reader.Append(kGet);
  EXPECT_EQ(FaultStatus(reader.Next()), 400);
}

TEST(RequestReaderTest, AsksOnceForTheBodyOfAWaitingSender) {
  request_reader reader({});
  reader.Append(
      "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 1\r\n\r\n");
  EXPECT_TRUE(std::holds_alternative<more_bytes_needed>(reader.Next()));
  EXPECT_TRUE(reader.TakeContinueRequest());
  EXPECT_FALSE(reader.TakeContinueRequest());
  reader.Append("x");
  const request_read_result outcome = reader.Next();
  EXPECT_FALSE(
      std::get<received_request>(outcome).request.headers.Find("Expect"));
}

// Guards against memory for a length that is stated but not sent: many callers
// can state the largest body that the limits allow.
TEST(RequestReaderTest, TakesNoMemoryForBytesThatHaveNotArrived) {
  constexpr std::uint64_t kLargeLimit = std::uint64_t{1} << 60;
  request_reader reader({.max_body_bytes = kLargeLimit});
  reader.Append(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
      "1152921504606846976\r\n\r\n");
  EXPECT_TRUE(std::holds_alternative<more_bytes_needed>(reader.Next()));
  reader.Append("the body");
  EXPECT_TRUE(std::holds_alternative<more_bytes_needed>(reader.Next()));
}

}  // namespace
}  // namespace bulrushshore

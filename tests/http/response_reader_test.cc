#include "libraries/http/response_reader.h"

#include <string>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr std::uint64_t kMaxBody = 1000;

TEST(ResponseReaderTest, ReadsAFramedResponse) {
  response_reader reader(kMaxBody);
  reader.Start(false);
  EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                        "Keep-Alive: timeout=7\r\n\r\nab"),
            response_read_state::kIncomplete);
  EXPECT_EQ(reader.Feed("c"), response_read_state::kComplete);
  const received_response received = reader.TakeResponse();
  EXPECT_EQ(received.response.status, 200);
  EXPECT_EQ(received.response.body, "abc");
  EXPECT_EQ(received.keep_alive_timeout, std::chrono::seconds(7));
  EXPECT_TRUE(received.is_keep_alive);
  EXPECT_FALSE(reader.HasExtraBytes());
}

// An answer that was cut off must not look complete.
TEST(ResponseReaderTest, DetectsATruncatedResponse) {
  response_reader reader(kMaxBody);
  reader.Start(false);
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
  EXPECT_EQ(reader.FinishAtEnd(), response_read_state::kMalformed);
  response_reader chunked(kMaxBody);
  chunked.Start(false);
  chunked.Feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  EXPECT_EQ(chunked.FinishAtEnd(), response_read_state::kMalformed);
  response_reader head(kMaxBody);
  head.Start(false);
  head.Feed("HTTP/1.1 200 OK\r\nConte");
  EXPECT_EQ(head.FinishAtEnd(), response_read_state::kMalformed);
}

TEST(ResponseReaderTest, AResponseWithoutLengthEndsWithItsConnection) {
  response_reader reader(kMaxBody);
  reader.Start(false);
  EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\n\r\nabc"),
            response_read_state::kIncomplete);
  EXPECT_EQ(reader.FinishAtEnd(), response_read_state::kComplete);
  EXPECT_EQ(reader.TakeResponse().response.body, "abc");
}

// Bytes behind a response belong to no request, and their connection must not
// be used again.
TEST(ResponseReaderTest, NoticesBytesBehindTheResponse) {
  response_reader reader(kMaxBody);
  reader.Start(false);
  EXPECT_EQ(reader.Feed("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n"),
            response_read_state::kComplete);
  EXPECT_TRUE(reader.HasExtraBytes());
}

TEST(ResponseReaderTest, PassesOverInterimResponses) {
  response_reader reader(kMaxBody);
  reader.Start(false);
  EXPECT_EQ(reader.Feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                        "Content-Length: 0\r\n\r\n"),
            response_read_state::kComplete);
  EXPECT_EQ(reader.TakeResponse().response.status, 200);
}

TEST(ResponseReaderTest, ReadsASecondResponseOutOfTheSameBytes) {
  response_reader reader(kMaxBody);
  reader.Start(false);
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
  EXPECT_EQ(reader.Feed(response + "a" + response + "b"),
            response_read_state::kComplete);
  EXPECT_EQ(reader.TakeResponse().response.body, "a");
  reader.Start(false);
  EXPECT_EQ(reader.FeedBuffered(), response_read_state::kComplete);
  EXPECT_EQ(reader.TakeResponse().response.body, "b");
}

TEST(ResponseReaderTest, RefusesGarbageAndOversizedBodies) {
  response_reader garbage(kMaxBody);
  garbage.Start(false);
  EXPECT_EQ(garbage.Feed("\x01\x02garbage\r\n\r\n"),
            response_read_state::kMalformed);
  response_reader oversized(4);
  oversized.Start(false);
  EXPECT_EQ(oversized.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
            response_read_state::kMalformed);
}

TEST(ResponseReaderTest, AResponseToHeadHasNoBody) {
  response_reader reader(kMaxBody);
  reader.Start(true);
  EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"),
            response_read_state::kComplete);
  EXPECT_TRUE(reader.TakeResponse().response.body.empty());
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/http/response_reader.h"

#include <string>
#include <vector>

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

// Guards against memory for a length that is stated but not sent: the digits of
// a length of 41 bytes, repeated, ended the process with std::bad_alloc.
TEST(ResponseReaderTest, RefusesAStatedLengthOverTheLimitAtTheHeader) {
  for (const char* length :
       {"1001", "41414141", "41414141414", "4141414141414141",
        "9223372036854775807", "18446744073709551615", "18446744073709551616",
        "99999999999999999999999999"}) {
    response_reader reader(kMaxBody);
    reader.Start(false);
    EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::string(length) + "\r\n\r\nthe body"),
              response_read_state::kMalformed)
        << length;
    response_reader split(kMaxBody);
    split.Start(false);
    split.Feed("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length));
    EXPECT_EQ(split.Feed("\r\n\r\n"), response_read_state::kMalformed)
        << length;
  }
}

TEST(ResponseReaderTest, TakesNoMemoryForBytesThatHaveNotArrived) {
  constexpr std::uint64_t kLargeLimit = std::uint64_t{1} << 60;
  response_reader reader(kLargeLimit);
  reader.Start(false);
  EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: "
                        "1152921504606846976\r\n\r\nthe body"),
            response_read_state::kIncomplete);
  EXPECT_EQ(reader.BufferedBytes(), 8U);
}

TEST(ResponseReaderTest, RefusesChunksOverTheLimit) {
  for (const char* size :
       {"3e9", "ffffffff", "ffffffffffffffff", "fffffffffffffffff"}) {
    response_reader reader(kMaxBody);
    reader.Start(false);
    EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                          "\r\n\r\n" +
                          std::string(size) + "\r\n"),
              response_read_state::kMalformed)
        << size;
  }
}

TEST(ResponseReaderTest, BoundsTheKeepAliveTimeout) {
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  response_reader reader(kMaxBody);
  reader.Start(false);
  reader.Feed(start + "Keep-Alive: timeout=9223372036854775807\r\n\r\n");
  EXPECT_EQ(reader.TakeResponse().keep_alive_timeout, std::chrono::hours(24));
  reader.Start(false);
  reader.Feed(start + "Keep-Alive: timeout=-5\r\n\r\n");
  EXPECT_EQ(reader.TakeResponse().keep_alive_timeout, std::nullopt);
}

// A sender may list thousands of names in Connection, which is compared with
// thousands of header fields.
TEST(ResponseReaderTest, RemovesManyListedHeadersInOnePass) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: ";
  for (int name = 0; name < 4000; ++name) {
    head += "x" + std::to_string(name % 1000) + ",";
  }
  head += "\r\n";
  for (int name = 0; name < 3000; ++name) {
    head += "X" + std::to_string(name) + ":\r\n";
  }
  response_reader reader(kMaxBody);
  reader.Start(false);
  ASSERT_EQ(reader.Feed(head + "\r\n"), response_read_state::kComplete);
  EXPECT_EQ(reader.TakeResponse().response.headers.fields().size(), 2000U);
}

TEST(ResponseReaderTest, AResponseToHeadHasNoBody) {
  response_reader reader(kMaxBody);
  reader.Start(true);
  EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"),
            response_read_state::kComplete);
  EXPECT_TRUE(reader.TakeResponse().response.body.empty());
}

// Guards against a body that is read as a response because the one before it
// looked like an interim response.
TEST(ResponseReaderTest, RefusesStatusesThatEndNoExchange) {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    for (const bool is_head : {false, true}) {
      response_reader reader(kMaxBody);
      reader.Start(is_head);
      EXPECT_EQ(reader.Feed("HTTP/1.1 " + std::string(status) + " X\r\n\r\n"),
                response_read_state::kMalformed)
          << status;
    }
  }
}

// Guards against fields behind a chunked body that change what the header says.
TEST(ResponseReaderTest, TrailerFieldsAreNotHeaderFields) {
  response_reader reader(kMaxBody);
  reader.Start(false);
  EXPECT_EQ(reader.Feed("HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                        "X-Signature: s\r\nX-Attempt: 2\r\n"
                        "Keep-Alive: timeout=9\r\n\r\n"),
            response_read_state::kComplete);
  const received_response received = reader.TakeResponse();
  EXPECT_EQ(received.response.body, "body");
  EXPECT_EQ(received.response.headers.Find("X-Signature"), std::nullopt);
  EXPECT_EQ(received.response.headers.Count("X-Attempt"), 1U);
  EXPECT_EQ(received.keep_alive_timeout, std::nullopt);
}

// Guards against a body that was not expected, comes later and is read as the
// next response.
TEST(ResponseReaderTest, KeepsNoConnectionOnWhichABodyMayFollow) {
  struct bodiless_response {
    const char* head;
    bool is_head;
    bool is_keep_alive;
  };
  const std::vector<bodiless_response> cases = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true, false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true, false},
      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", false, false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, true},
      {"HTTP/1.1 304 Not Modified\r\n\r\n", false, true}};
  for (const bodiless_response& tried : cases) {
    response_reader reader(kMaxBody);
    reader.Start(tried.is_head);
    EXPECT_EQ(reader.Feed(tried.head), response_read_state::kComplete);
    EXPECT_EQ(reader.TakeResponse().is_keep_alive, tried.is_keep_alive)
        << tried.head;
  }
}

// Guards against an interim response that completes an exchange.
TEST(ResponseReaderTest, AnInterimResponseIsNotTheEnd) {
  for (const bool is_head : {false, true}) {
    response_reader reader(kMaxBody);
    reader.Start(is_head);
    EXPECT_EQ(reader.Feed("HTTP/1.1 100 Continue\r\n\r\n"),
              response_read_state::kIncomplete);
    EXPECT_EQ(reader.FinishAtEnd(), response_read_state::kMalformed);
  }
}

}  // namespace
}  // namespace bulrushshore

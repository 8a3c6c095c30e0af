#include <ostream>
#include <string>

#include <gtest/gtest.h>

#include "tests/proxy/proxy_fixture.h"

namespace bulrushshore {
namespace {

using script = scripted_target::script;

constexpr char kForged[] = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged";
constexpr char kChunks[] = "6\r\nforged\r\n0\r\n\r\n";
constexpr char kLengthOfChunks[] = "Content-Length: 16\r\n";
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";

script AfterRequest(std::string response) {
  return [response = std::move(response)](raw_connection& connection) {
    connection.ReceiveMessage();
    connection.Send(response);
  };
}

// A response that HTTP does not allow.
struct invalid_response {
  const char* name;
  std::string bytes;
};

void PrintTo(const invalid_response& response, std::ostream* out) {
  *out << response.name;
}

class InvalidResponseTest : public testing::TestWithParam<invalid_response> {};

// Guards against a response that is not HTTP and reaches the caller, whole, in
// part, or with a body that the target did not send as such.
TEST_P(InvalidResponseTest, IsNotRelayed) {
  scripted_target target({AfterRequest(GetParam().bytes)});
  proxy_fixture fixture({target.port()});
  const std::string response = fixture.Post("/once", "bag");
  EXPECT_EQ(StatusOf(response), 502);
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "unknown");
  EXPECT_EQ(fixture.targets.Reports()[0].outcome,
            attempt_result::kTruncatedAnswer);
}

// Guards against such a response that is kept as the answer to a key.
TEST_P(InvalidResponseTest, IsNotRelayedOnAReusedConnection) {
  scripted_target target({[](raw_connection& connection) {
    connection.ReceiveMessage();
    connection.Send(PlainResponse(200, "first"));
    AfterRequest(GetParam().bytes)(connection);
  }});
  proxy_fixture fixture({target.port()});
  EXPECT_TRUE(fixture.Get("/lookup").ends_with("first"));
  const std::string response = fixture.Get("/lookup");
  EXPECT_EQ(StatusOf(response), 502);
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "unknown");
}

std::string Head(std::string_view fields) {
  return "HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n";
}

INSTANTIATE_TEST_SUITE_P(
    Statuses,
    InvalidResponseTest,
    testing::Values(invalid_response{"status_000", "HTTP/1.1 000 X\r\n\r\n" +
                                                       std::string(kForged)},
                    invalid_response{"status_099", "HTTP/1.1 099 X\r\n\r\n" +
                                                       std::string(kForged)},
                    invalid_response{"status_600",
                                     "HTTP/1.1 600 X\r\n"
                                     "Content-Length: 6\r\n\r\nforged"},
                    invalid_response{
                        "switching_protocols",
                        "HTTP/1.1 101 Switching Protocols\r\n\r\n" +
                            std::string(kForged)},
                    invalid_response{"interim_response_with_length",
                                     "HTTP/1.1 103 Early Hints\r\n"
                                     "Content-Length: 44\r\n\r\n" +
                                         std::string(kForged)},
                    invalid_response{"no_content_with_length",
                                     "HTTP/1.1 204 No Content\r\n"
                                     "Content-Length: 6\r\n\r\nforged"}));

INSTANTIATE_TEST_SUITE_P(
    Framings,
    InvalidResponseTest,
    testing::Values(
        invalid_response{
            "chunks_and_length",
            Head(std::string(kChunked) + kLengthOfChunks) + kChunks},
        invalid_response{
            "two_transfer_codings",
            Head("Transfer-Encoding: gzip, chunked\r\n") + kChunks},
        invalid_response{
            "chunks_in_http_1_0",
            "HTTP/1.0 200 OK\r\n" + std::string(kChunked) + "\r\n" + kChunks},
        invalid_response{"percent_coded_length",
                         Head("Content-Length: %36\r\n") + "forged"},
        invalid_response{"chunk_longer_than_stated",
                         Head(kChunked) + "3\r\nforged\r\n0\r\n\r\n"},
        invalid_response{"chunk_shorter_than_stated",
                         Head(kChunked) + "7\r\nforged\r\n0\r\n\r\n"},
        invalid_response{"negative_chunk_size",
                         Head(kChunked) + "-1\r\nforged\r\n0\r\n\r\n"},
        invalid_response{"signed_chunk_size",
                         Head(kChunked) + "+6\r\nforged\r\n0\r\n\r\n"},
        invalid_response{"chunk_size_with_prefix",
                         Head(kChunked) + "0x6\r\nforged\r\n0\r\n\r\n"},
        invalid_response{"chunk_size_with_text",
                         Head(kChunked) + "6bytes\r\nforged\r\n0\r\n\r\n"},
        invalid_response{"last_chunk_with_text",
                         Head(kChunked) + "6\r\nforged\r\n0x\r\n\r\n"},
        invalid_response{"last_chunk_without_end",
                         Head(kChunked) + "6\r\nforged\r\n0\r\n"},
        invalid_response{"chunks_without_the_last",
                         Head(kChunked) + "6\r\nforged\r\n"}));

INSTANTIATE_TEST_SUITE_P(
    FieldNames,
    InvalidResponseTest,
    testing::Values(
        invalid_response{"blank_in_a_name", Head("Bad Name: x\r\n"
                                                 "Content-Length: 6\r\n") +
                                                "forged"},
        invalid_response{"blank_behind_a_name",
                         Head("Transfer-Encoding : chunked\r\n" +
                              std::string(kLengthOfChunks)) +
                             kChunks},
        invalid_response{"control_byte_in_a_name",
                         Head("Transfer-Encoding\x01: chunked\r\n" +
                              std::string(kLengthOfChunks)) +
                             kChunks},
        invalid_response{"delete_byte_in_a_name", Head("Bad\x7fName: x\r\n"
                                                       "Content-Length: "
                                                       "6\r\n") +
                                                      "forged"},
        invalid_response{"empty_name",
                         Head(": x\r\nContent-Length: 6\r\n") + "forged"},
        invalid_response{"line_without_colon",
                         Head("Bad\r\nContent-Length: 6\r\n") + "forged"},
        invalid_response{"line_feed_alone",
                         Head("Transfer-Encoding: chunked\n" +
                              std::string(kLengthOfChunks)) +
                             kChunks},
        invalid_response{
            "control_byte_in_a_value",
            Head("X: a\x01\r\nContent-Length: 6\r\n") + "forged"}));

// Guards against header fields that arrive changed: a line end in percent
// coding became a line end.
TEST(TargetResponseTest, RelaysValuesUnchanged) {
  scripted_target target({AfterRequest(PlainResponse(
      200, "fine", "X-Path: /a%20b%0D%0AX-Forged: 1\r\nX-Other: c%2\r\n"))});
  proxy_fixture fixture({target.port()});
  const std::string response = fixture.Get("/lookup");
  EXPECT_EQ(HeaderOf(response, "X-Path"), "/a%20b%0D%0AX-Forged: 1");
  EXPECT_EQ(HeaderOf(response, "X-Other"), "c%2");
  EXPECT_EQ(HeaderOf(response, "X-Forged"), "");
}

// Guards against a body that follows the response to HEAD and is read as the
// next response.
TEST(TargetResponseTest, DoesNotReuseAConnectionOnWhichABodyMayFollow) {
  scripted_target target(
      {[](raw_connection& connection) {
         connection.ReceiveMessage();
         connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n");
         connection.ReceiveMessage();
         connection.Send(kForged);
       },
       AfterRequest(PlainResponse(200, "fine"))});
  proxy_fixture fixture({target.port()});
  EXPECT_EQ(StatusOf(fixture.Ask("HEAD /lookup HTTP/1.1\r\nHost: a\r\n"
                                 "Connection: close\r\n\r\n")),
            200);
  EXPECT_TRUE(fixture.Get("/lookup").ends_with("fine"));
}

// Guards against a sound response that is refused because of what precedes it.
TEST(TargetResponseTest, PassesOverInterimResponses) {
  scripted_target target(
      {AfterRequest("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                    "Link: </x>\r\n\r\n" +
                    PlainResponse(200, "fine"))});
  proxy_fixture fixture({target.port()});
  EXPECT_TRUE(fixture.Get("/lookup").ends_with("fine"));
}

}  // namespace
}  // namespace bulrushshore

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{800};
constexpr std::size_t kPieceBytes = 16'384;
constexpr std::size_t kMaxBytesInAll = std::size_t{1} << 20;

// Bytes that a target sends first, and bytes that it repeats without end.
struct endless_response {
  const char* name;
  std::string start;
  std::string repeated;
};

void PrintTo(const endless_response& response, std::ostream* out) {
  *out << response.name;
}

class EndlessResponseTest
    : public GatewayTest,
      public testing::WithParamInterface<endless_response> {
 protected:
  static gateway_options SmallOptions() {
    gateway_options options = Options();
    options.connections.max_buffered_bytes = kMaxBytesInAll;
    return options;
  }

  EndlessResponseTest() : GatewayTest(SmallOptions()) {}
};

// Guards against a target that sends bytes without end: a host that buffers
// them grows until it is stopped, and a host that reads on until the deadline
// has no processor time for other requests.
TEST_P(EndlessResponseTest, IsGivenUpBeforeTheDeadlineWithBoundedMemory) {
  ApplyRules(kTimeout);
  scripted_target& broken = AddTarget("broken", [](const proxy_request&) {
    return scripted_reply{.bytes = GetParam().start,
                          .endless_bytes = GetParam().repeated};
  });
  const time_point start = time_.Now();
  SendRequest("/pay/x", "1", "POST");
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_TRUE(responses[0].status == 502 || responses[0].status == 504)
      << responses[0].status;
  EXPECT_LT(time_.Now() - start, kTimeout / 2);
  EXPECT_LE(state_.connections().buffered_bytes().most_used(), kMaxBytesInAll);
  EXPECT_EQ(state_.connections().buffered_bytes().used(), 0U);
  EXPECT_EQ(reporter_.observations,
            std::vector{target_observation::kInvalidResponse});
  EXPECT_EQ(broken.requests().size(), 1U);

  AddTarget("other", [](const proxy_request& request) {
    return scripted_target::Success(request);
  });
  state_.targets().Disown("broken");
  SendRequest("/read/x", "2");
  EXPECT_EQ(Receive()[0].status, 200);
}

std::string Piece(char character) {
  return std::string(kPieceBytes, character);
}

std::string Repeat(const std::string& text) {
  std::string repeated;
  while (repeated.size() < kPieceBytes) {
    repeated += text;
  }
  return repeated;
}

INSTANTIATE_TEST_SUITE_P(
    Forms,
    EndlessResponseTest,
    testing::Values(
        endless_response{"head", "", Piece('x')},
        endless_response{"status_line", "HTTP/1.1 200 ", Piece('x')},
        endless_response{"header_lines", "HTTP/1.1 200 OK\r\n",
                         Repeat("A: b\r\n")},
        endless_response{"interim_responses", "",
                         Repeat("HTTP/1.1 100 Continue\r\n\r\n")},
        endless_response{"responses_to_others", "",
                         Repeat("HTTP/1.1 200 OK\r\nX-Attempt: other\r\n"
                                "Content-Length: 0\r\n\r\n")},
        endless_response{"body_without_length",
                         "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\n", Piece('x')},
        endless_response{"chunks",
                         "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         Repeat("4\r\nbody\r\n")},
        endless_response{"chunk_extension",
                         "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n4;",
                         Piece('x')},
        endless_response{"trailers",
                         "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                         Repeat("A: b\r\n")}));

}  // namespace
}  // namespace bulrushshore

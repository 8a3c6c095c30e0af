#include <ostream>
#include <string>

#include <gtest/gtest.h>

#include "tests/gateway/early_target.h"
#include "tests/gateway/gateway_fixture.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// More than the buffers of a loopback connection hold, so that the upload is
// still being written when the target responds.
constexpr std::size_t kUploadBytes = std::size_t{8} << 20;
constexpr milliseconds kTimeout{5000};

struct early_response {
  const char* name;
  std::string framing;
  std::string body;
  connection_end end;
  int expected_status;
};

void PrintTo(const early_response& response, std::ostream* out) {
  *out << response.name;
}

class EarlyResponseTest : public GatewayTest,
                          public testing::WithParamInterface<early_response> {
 protected:
  // Sends a request with a body of kUploadBytes from the event loop.
  void Upload() {
    Connect();
    upload_ =
        "POST /pay/x HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\n"
        "X-Deadline: 5000\r\nContent-Length: " +
        std::to_string(kUploadBytes) + "\r\n\r\n" +
        std::string(kUploadBytes, 'u');
    asio::async_write(caller_, asio::buffer(upload_),
                      [](const socket_error&, std::size_t) {});
  }

  std::string upload_;
};

// Guards against a part of a body that is delivered as a whole response: the
// write of the upload met the reset of the connection, so that the read after
// it met an end of the stream.
TEST_P(EarlyResponseTest, IsDeliveredOnlyIfItIsWhole) {
  limits_.max_body_bytes = kUploadBytes;
  ApplyRules(kTimeout);
  early_target target(loop_,
                      "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n" +
                          GetParam().framing + "\r\n" + GetParam().body,
                      GetParam().end);
  target_entry entry;
  entry.id = "early";
  entry.service = "s";
  entry.address = target.address();
  entry.zone = "a";
  entry.slots = 6;
  state_.targets().Apply(entry, time_.Now());
  Upload();
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].status, GetParam().expected_status);
  if (GetParam().expected_status == 200) {
    EXPECT_EQ(responses[0].body, "whole body");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Forms,
    EarlyResponseTest,
    testing::Values(
        early_response{"part_of_a_body_without_length", "", "part",
                       connection_end::kReset, 502},
        early_response{"no_body_without_length", "", "", connection_end::kReset,
                       502},
        early_response{"part_of_a_body_with_length", "Content-Length: 10\r\n",
                       "part", connection_end::kReset, 502},
        early_response{"part_of_a_chunked_body",
                       "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n",
                       connection_end::kReset, 502},
        early_response{"whole_body_with_length", "Content-Length: 10\r\n",
                       "whole body", connection_end::kReset, 200},
        early_response{"whole_body_without_length", "", "whole body",
                       connection_end::kHalfClose, 200},
        early_response{"whole_body_and_a_reset_behind_its_end", "",
                       "whole body", connection_end::kClose, 200}));

}  // namespace
}  // namespace bulrushshore

#include "libraries/http_client/client_connection.h"

#include <string>

#include <gtest/gtest.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "tests/proxy/socket_peer.h"

namespace bulrushshore {
namespace {

using script = scripted_target::script;

class ClientConnectionTest : public testing::Test {
 protected:
  std::variant<proxy_response, client_failure> Ask(
      script respond,
      const exchange_limits& limits,
      const std::string& method = "GET") {
    const scripted_target server({std::move(respond)});
    client_connection connection({"127.0.0.1", server.port()}, limits, time_);
    proxy_request request;
    request.method = method;
    request.target = "/";
    return connection.Exchange(request, time_.Now() + std::chrono::seconds(10),
                               kNoSocket);
  }

  static script Respond(std::string bytes, bool resets = false) {
    return [bytes = std::move(bytes), resets](raw_connection& connection) {
      connection.ReceiveMessage();
      connection.Send(bytes);
      if (resets) {
        connection.WaitUntilDelivered();
        connection.Reset();
      }
    };
  }

  caf::actor_system_config config_;
  caf::actor_system system_{config_};
  runtime_clock time_{system_.clock()};
  exchange_limits accepting_unframed_{.accepts_unframed = true};
};

// Guards against a sound response that is refused because it has no length.
TEST_F(ClientConnectionTest, TakesAResponseThatEndsWithItsConnection) {
  const std::variant<proxy_response, client_failure> outcome =
      Ask(Respond("HTTP/1.1 200 OK\r\n\r\nwhole"), accepting_unframed_);
  ASSERT_TRUE(std::holds_alternative<proxy_response>(outcome));
  EXPECT_EQ(std::get<proxy_response>(outcome).body, "whole");
}

// Guards against a part of a body that is taken for a whole one.
TEST_F(ClientConnectionTest, RefusesAResponseWhoseConnectionIsReset) {
  for (const char* response :
       {"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n"}) {
    const std::variant<proxy_response, client_failure> outcome =
        Ask(Respond(response, /*resets=*/true), accepting_unframed_);
    ASSERT_TRUE(std::holds_alternative<client_failure>(outcome));
    EXPECT_EQ(std::get<client_failure>(outcome),
              client_failure::kClosedDuringResponse);
  }
}

// Guards against an end of stream that completes a response of known length.
TEST_F(ClientConnectionTest, RefusesAResponseThatEndsBeforeItsLength) {
  for (const char* response :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\n"}) {
    const std::variant<proxy_response, client_failure> outcome =
        Ask(Respond(response), accepting_unframed_);
    ASSERT_TRUE(std::holds_alternative<client_failure>(outcome)) << response;
    EXPECT_EQ(std::get<client_failure>(outcome),
              client_failure::kClosedDuringResponse);
  }
}

TEST_F(ClientConnectionTest, RefusesAnUnframedResponseUnlessAllowed) {
  const std::variant<proxy_response, client_failure> outcome =
      Ask(Respond("HTTP/1.1 200 OK\r\n\r\nwhole"), {});
  ASSERT_TRUE(std::holds_alternative<client_failure>(outcome));
  EXPECT_EQ(std::get<client_failure>(outcome),
            client_failure::kResponseUnframed);
}

// Guards against a client that waits for the body of a response to HEAD.
TEST_F(ClientConnectionTest, AResponseToHeadKeepsItsLengthWithoutABody) {
  const std::variant<proxy_response, client_failure> outcome =
      Ask(Respond("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"), {}, "HEAD");
  ASSERT_TRUE(std::holds_alternative<proxy_response>(outcome));
  const proxy_response& response = std::get<proxy_response>(outcome);
  EXPECT_EQ(response.headers.Find("Content-Length"), "50");
  EXPECT_EQ(response.body, "");
}

}  // namespace
}  // namespace bulrushshore

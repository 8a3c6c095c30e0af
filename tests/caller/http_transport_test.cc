#include "libraries/caller/http_transport.h"

#include <memory>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "stand_ins/target/target_service.h"

namespace bulrushshore {
namespace {

class HttpTransportTest : public testing::Test {
 protected:
  void SetUp() override {
    const int port = service_.server().Bind(0).value_or(0);
    ASSERT_NE(port, 0);
    address_ = {"127.0.0.1", static_cast<std::uint16_t>(port)};
    thread_ = std::thread([this] { service_.server().listen_after_bind(); });
    while (!service_.server().is_running()) {
      std::this_thread::yield();
    }
  }

  void TearDown() override {
    service_.Stop();
    thread_.join();
  }

  transport_result Send(const std::string& method,
                        const std::string& path,
                        duration timeout = std::chrono::seconds(60)) {
    transport_request request;
    request.method = method;
    request.path = path;
    request.headers = {{"X-Work-Ms", "0"}, {"X-Request-Id", "r"}};
    return transport_.Exchange(address_, request, timeout);
  }

  caf::actor_system_config config_;
  caf::actor_system system_{config_};
  runtime_clock clock_{system_.clock()};
  http_transport transport_{clock_, std::chrono::seconds(60)};
  target_service service_{target_options{}, clock_, nullptr};
  std::thread thread_;
  endpoint address_;
};

// Guards against an incomplete response that is passed on as complete.
TEST_F(HttpTransportTest, ReportsACutResponseAsALostConnection) {
  ASSERT_TRUE(std::holds_alternative<transport_response>(Send("GET", "/a")));
  Send("POST", "/_admin/mode?mode=truncating&truncate_share=1");
  const transport_result cut = Send("GET", "/a");
  ASSERT_TRUE(std::holds_alternative<transport_failure>(cut));
  EXPECT_EQ(std::get<transport_failure>(cut),
            transport_failure::kConnectionLost);
}

// Guards against a silent connection that holds its caller for ever, and that
// later requests are given again.
TEST_F(HttpTransportTest, GivesUpASilentConnectionAndOpensANewOne) {
  ASSERT_TRUE(std::holds_alternative<transport_response>(Send("GET", "/a")));
  Send("POST", "/_admin/mode?mode=freezing");
  const transport_result silent =
      Send("GET", "/a", std::chrono::milliseconds(100));
  ASSERT_TRUE(std::holds_alternative<transport_failure>(silent));
  EXPECT_EQ(std::get<transport_failure>(silent), transport_failure::kTimedOut);
  EXPECT_TRUE(std::holds_alternative<transport_response>(Send("GET", "/a")));
}

// Guards against a refused connection that counts as "may have run", which
// would keep keys from being bound to another host.
TEST_F(HttpTransportTest, TellsAFailedConnectFromALostConnection) {
  // Nothing listens on port 1 of the loopback address.
  const transport_result refused = transport_.Exchange(
      endpoint{"127.0.0.1", 1}, transport_request{}, std::chrono::seconds(60));
  ASSERT_TRUE(std::holds_alternative<transport_failure>(refused));
  EXPECT_EQ(std::get<transport_failure>(refused),
            transport_failure::kConnectFailed);
}

}  // namespace
}  // namespace bulrushshore

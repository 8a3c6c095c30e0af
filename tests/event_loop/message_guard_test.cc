#include "libraries/event_loop/message_guard.h"

#include <memory>
#include <new>
#include <optional>
#include <string>
#include <variant>

#include <gtest/gtest.h>
#include <boost/asio/post.hpp>

#include "libraries/event_loop/http_connection.h"
#include "libraries/event_loop/http_server.h"

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

TEST(MessageGuardTest, ReportsExceptions) {
  const std::uint64_t before = HandlerExceptions();
  EXPECT_TRUE(RunGuarded("test", [] {}));
  EXPECT_FALSE(RunGuarded("test", [] { throw std::bad_alloc(); }));
  EXPECT_FALSE(RunGuarded("test", [] { throw 5; }));
  EXPECT_EQ(HandlerExceptions() - before, 2U);
}

// Guards against an exception of one handler that ends the process.
TEST(MessageGuardTest, TheLoopRunsTheHandlersBehindOneThatThrows) {
  boost::asio::io_context loop{1};
  bool is_reached = false;
  boost::asio::post(loop, [] { throw std::bad_alloc(); });
  boost::asio::post(loop, [&is_reached] { is_reached = true; });
  RunLoop(loop);
  EXPECT_TRUE(is_reached);
}

// A server whose handler throws for one path, and connections to it. The loop
// has no guard of its own here.
class GuardedConnectionTest : public testing::Test {
 protected:
  GuardedConnectionTest()
      : server_(loop_, [](const proxy_request& request) -> proxy_response {
          if (request.target == "/throw") {
            throw std::bad_alloc();
          }
          return {.status = 200, .headers = {}, .body = {}};
        }) {
    EXPECT_TRUE(IsOk(server_.Listen({"127.0.0.1", 0})));
  }

  std::shared_ptr<http_connection> Connect() {
    return std::make_shared<http_connection>(
        loop_, endpoint{"127.0.0.1", server_.port()},
        http_connection::options{});
  }

  exchange_outcome Ask(
      const std::shared_ptr<http_connection>& connection,
      const std::string& target,
      http_connection::response_filter filter = [](const proxy_response&) {
        return true;
      }) {
    std::optional<exchange_outcome> outcome;
    connection->Exchange({"GET", target, {}, ""}, std::move(filter),
                         [&outcome](exchange_outcome received) {
                           outcome = std::move(received);
                         });
    for (int round = 0; !outcome && round < 400; ++round) {
      loop_.run_for(milliseconds(5));
    }
    EXPECT_TRUE(outcome.has_value());
    return outcome.value_or(exchange_failure::kConnectFailed);
  }

  boost::asio::io_context loop_{1};
  http_server server_;
};

TEST_F(GuardedConnectionTest, AThrowingHandlerCostsOneConnection) {
  const std::shared_ptr<http_connection> neighbour = Connect();
  EXPECT_TRUE(
      std::holds_alternative<received_response>(Ask(neighbour, "/first")));
  EXPECT_EQ(std::get<exchange_failure>(Ask(Connect(), "/throw")),
            exchange_failure::kClosedBeforeResponse);
  EXPECT_TRUE(
      std::holds_alternative<received_response>(Ask(neighbour, "/second")));
}

TEST_F(GuardedConnectionTest, AnExceptionForAResponseFailsItsExchange) {
  const std::shared_ptr<http_connection> neighbour = Connect();
  EXPECT_TRUE(
      std::holds_alternative<received_response>(Ask(neighbour, "/first")));
  const exchange_outcome failed =
      Ask(Connect(), "/other",
          [](const proxy_response&) -> bool { throw std::bad_alloc(); });
  EXPECT_EQ(std::get<exchange_failure>(failed),
            exchange_failure::kMalformedResponse);
  EXPECT_TRUE(
      std::holds_alternative<received_response>(Ask(neighbour, "/second")));
}

}  // namespace
}  // namespace bulrushshore

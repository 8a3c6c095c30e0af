#include "libraries/event_loop/http_connection.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <gtest/gtest.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "libraries/event_loop/loop_clock.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t kUpload = std::size_t{6} << 20;
constexpr char kHead[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

// Number of handlers that the loop runs between the moment at which the upload
// can go on and the end of the connection. One of them lets the loop find the
// lost connection while a part of the upload is complete and the next one is
// not begun: the read's end of stream is then handled before the write's error.
constexpr int kMaxSteps = 12;

// Runs a connection whose peer has its socket on the same thread, so that a
// test decides what the loop has handled when the peer acts.
class HttpConnectionTest : public testing::Test {
 protected:
  HttpConnectionTest()
      : acceptor_(peer_loop_, {asio::ip::make_address("127.0.0.1"), 0}) {}

  // Starts an upload that the peer responds to early, with a response without a
  // length. The rest of the upload waits until the peer reads.
  void StartUpload() {
    outcome_.reset();
    connection_ = std::make_shared<http_connection>(
        loop_, endpoint{"127.0.0.1", acceptor_.local_endpoint().port()},
        http_connection::options{});
    connection_->Exchange(
        {"POST", "/", {}, std::string(kUpload, 'u')},
        [](const proxy_response&) { return true; },
        [this](exchange_outcome outcome) { outcome_ = std::move(outcome); });
    peer_ = tcp::socket(peer_loop_);
    acceptor_.accept(peer_);
    RunUntilIdle();
    asio::write(peer_, asio::buffer(std::string(kHead) + "part"));
    RunUntilIdle();
    ASSERT_FALSE(outcome_);
  }

  void RunUntilIdle() {
    for (int round = 0; round < 5; ++round) {
      loop_.run_for(milliseconds(1));
    }
  }

  // Reads what has arrived at the peer, so that the upload can go on.
  void ReadArrived() {
    std::array<char, 65'536> buffer{};
    socket_error failure;
    while (peer_.available(failure) > 0 && !failure) {
      peer_.read_some(asio::buffer(buffer), failure);
    }
  }

  void RunSteps(int steps) {
    for (int step = 0; step < steps; ++step) {
      loop_.poll_one();
    }
  }

  // Runs the loop until the exchange has ended, for at most half a second.
  bool HasEnded() {
    const time_point end = time_.Now() + milliseconds(500);
    while (!outcome_ && time_.Now() < end) {
      loop_.run_for(milliseconds(1));
    }
    return outcome_.has_value();
  }

  void ResetPeer() {
    peer_.set_option(asio::socket_base::linger(true, 0));
    peer_.close();
  }

  bool IsWhole() const {
    const received_response* received =
        std::get_if<received_response>(&*outcome_);
    return received && received->response.body == "part";
  }

  asio::io_context loop_{1};
  // Keeps the loop from stopping when a connection has ended.
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      loop_.get_executor()};
  asio::io_context peer_loop_{1};
  loop_clock time_;
  tcp::acceptor acceptor_;
  tcp::socket peer_{peer_loop_};
  std::shared_ptr<http_connection> connection_;
  std::optional<exchange_outcome> outcome_;
};

// Guards against a part of a body that passes as a whole response: the peer
// resets the connection during an upload, the write gets the error, and the end
// of stream that the read gets is handled before it.
TEST_F(HttpConnectionTest, AResetDuringAnUploadIsNoEndInWhicheverOrderItIsMet) {
  for (int steps = 0; steps <= kMaxSteps; ++steps) {
    StartUpload();
    ReadArrived();
    RunSteps(steps);
    ResetPeer();
    ASSERT_TRUE(HasEnded()) << steps;
    EXPECT_TRUE(std::holds_alternative<exchange_failure>(*outcome_))
        << steps << " steps: a part was delivered as a whole";
  }
}

// Guards against sound responses that fail: the peer ends its side in order and
// resets what arrives afterwards, so that the connection is gone, too.
TEST_F(HttpConnectionTest, AnEndBeforeAResetCompletesTheResponse) {
  for (int steps = 0; steps <= kMaxSteps; ++steps) {
    StartUpload();
    ReadArrived();
    RunSteps(steps);
    peer_.shutdown(tcp::socket::shutdown_send);
    ResetPeer();
    ASSERT_TRUE(HasEnded()) << steps;
    EXPECT_TRUE(IsWhole()) << steps;
  }
}

// Guards against sound responses that wait for an upload that the peer does not
// read, or fail because of it.
TEST_F(HttpConnectionTest, AnEndDuringAnUploadThatIsNotReadCompletesAtOnce) {
  StartUpload();
  peer_.shutdown(tcp::socket::shutdown_send);
  const time_point ended = time_.Now();
  ASSERT_TRUE(HasEnded());
  EXPECT_LT(time_.Now() - ended, milliseconds(100));
  EXPECT_TRUE(IsWhole());
}

TEST_F(HttpConnectionTest, AnEndDuringAnUploadThatIsReadCompletes) {
  StartUpload();
  ReadArrived();
  RunSteps(kMaxSteps);
  peer_.shutdown(tcp::socket::shutdown_send);
  ReadArrived();
  ASSERT_TRUE(HasEnded());
  EXPECT_TRUE(IsWhole());
}

}  // namespace
}  // namespace bulrushshore

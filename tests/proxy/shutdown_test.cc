#include <condition_variable>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

#include "tests/proxy/proxy_fixture.h"

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

// Lets the test decide when the target answers.
class gate {
 public:
  void Open() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_open_ = true;
    changed_.notify_all();
  }
  void Wait() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return is_open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_open_ = false;
};

class ShutdownTest : public testing::Test {
 protected:
  ~ShutdownTest() override { answer_.Open(); }

  // Sends a request and waits until the target has it.
  raw_connection SendLookup() {
    raw_connection caller = raw_connection::To(fixture_.proxy->port());
    caller.Send(
        "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: slow-1\r\n\r\n");
    while (target_.connections() == 0) {
      std::this_thread::yield();
    }
    return caller;
  }

  gate answer_;
  scripted_target target_{{[this](raw_connection& connection) {
    connection.ReceiveMessage();
    answer_.Wait();
    connection.Send(PlainResponse(200, "complete"));
  }}};
  proxy_fixture fixture_{{target_.port()}};
};

// Guards against a graceful shutdown that ends a request in flight.
TEST_F(ShutdownTest, FinishesRequestsInFlight) {
  raw_connection caller = SendLookup();
  raw_connection idle = raw_connection::To(fixture_.proxy->port());
  idle.Send("GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(StatusOf(idle.ReceiveMessage()), 404);
  fixture_.proxy->BeginShutdown();
  EXPECT_EQ(idle.ReceiveAll(), "");
  shutdown_report report;
  std::thread waiting(
      [&] { report = fixture_.proxy->WaitUntilIdle(std::chrono::minutes(1)); });
  answer_.Open();
  const std::string response = caller.ReceiveAll();
  waiting.join();
  EXPECT_TRUE(response.ends_with("complete"));
  EXPECT_EQ(HeaderOf(response, "Connection"), "close");
  EXPECT_TRUE(report.is_idle);
  EXPECT_TRUE(report.cut_request_ids.empty());
}

// Guards against a shutdown that never ends, or that hides what it cut off.
TEST_F(ShutdownTest, ReportsWhatItCutOff) {
  raw_connection caller = SendLookup();
  const shutdown_report report =
      fixture_.proxy->WaitUntilIdle(milliseconds(20));
  EXPECT_FALSE(report.is_idle);
  EXPECT_EQ(report.cut_request_ids, std::vector<std::string>{"slow-1"});
  EXPECT_EQ(caller.ReceiveAll(), "");
}

// Guards against a second stop signal that has to wait for a slow target.
TEST_F(ShutdownTest, CutsOffAtOnceWhenTheWaitIsStopped) {
  raw_connection caller = SendLookup();
  shutdown_report report;
  std::thread waiting(
      [&] { report = fixture_.proxy->WaitUntilIdle(std::chrono::hours(1)); });
  fixture_.proxy->StopWaiting();
  waiting.join();
  EXPECT_FALSE(report.is_idle);
  EXPECT_EQ(report.cut_request_ids, std::vector<std::string>{"slow-1"});
  EXPECT_EQ(report.cut_unread_connections, 0U);
  EXPECT_EQ(caller.ReceiveAll(), "");
}

// Guards against a request that is cut off while it arrives and that no report
// mentions, because it has no id yet.
TEST_F(ShutdownTest, CountsRequestsThatWereStillArriving) {
  raw_connection caller = raw_connection::To(fixture_.proxy->port());
  caller.Send(
      "POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  while (fixture_.proxy->RequestsInFlight() == 0) {
    std::this_thread::yield();
  }
  fixture_.proxy->StopWaiting();
  const shutdown_report report =
      fixture_.proxy->WaitUntilIdle(std::chrono::hours(1));
  EXPECT_FALSE(report.is_idle);
  EXPECT_TRUE(report.cut_request_ids.empty());
  EXPECT_EQ(report.cut_unread_connections, 1U);
}

// Guards against an answered request that is reported as cut off, because its
// caller has not closed the connection yet.
TEST_F(ShutdownTest, DoesNotReportAnsweredRequests) {
  answer_.Open();
  raw_connection caller = raw_connection::To(fixture_.proxy->port());
  caller.Send("GET /lookup HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(StatusOf(caller.ReceiveMessage()), 200);
  while (fixture_.proxy->RequestsInFlight() > 0) {
    std::this_thread::yield();
  }
  fixture_.proxy->StopWaiting();
  const shutdown_report report =
      fixture_.proxy->WaitUntilIdle(std::chrono::hours(1));
  EXPECT_TRUE(report.is_idle);
  EXPECT_TRUE(report.cut_request_ids.empty());
}

// Guards against a shutdown that cuts off a request whose first half has
// arrived on a connection that was idle until then.
TEST_F(ShutdownTest, ReadsARequestToItsEnd) {
  answer_.Open();
  raw_connection caller = raw_connection::To(fixture_.proxy->port());
  caller.Send("GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(StatusOf(caller.ReceiveMessage()), 404);
  caller.Send("POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  caller.WaitUntilDelivered();
  fixture_.proxy->BeginShutdown();
  // The server has met its end of the wait by the time that another caller was
  // served, so that the rest of the body comes after it.
  EXPECT_EQ(StatusOf(fixture_.Get("/lookup")), 200);
  caller.Send("cd");
  EXPECT_EQ(StatusOf(caller.ReceiveAll()), 404);
}

// Guards against callers that are turned away before they know of the shutdown.
TEST_F(ShutdownTest, ServesLateCallersUntilItStopsAccepting) {
  answer_.Open();
  raw_connection early = raw_connection::To(fixture_.proxy->port());
  fixture_.proxy->BeginShutdown();
  early.Send("GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(StatusOf(early.ReceiveAll()), 404);
  const std::string response = fixture_.Get("/lookup");
  EXPECT_EQ(StatusOf(response), 200);
  EXPECT_EQ(HeaderOf(response, "Connection"), "close");
  EXPECT_TRUE(fixture_.proxy->IsAccepting());
  EXPECT_TRUE(fixture_.proxy->WaitUntilIdle(std::chrono::minutes(1)).is_idle);
  EXPECT_FALSE(fixture_.proxy->IsAccepting());
}

}  // namespace
}  // namespace bulrushshore

#include <condition_variable>
#include <mutex>

#include <gtest/gtest.h>

#include "tests/proxy/proxy_fixture.h"

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kGet = "GET /lookup HTTP/1.1\r\nHost: a\r\n\r\n";

proxy_options WithLimits(caller_limits limits) {
  proxy_options options;
  options.server.limits = limits;
  return options;
}

// Two threads, no limit of time, and slow senders that have to give way from
// their first byte on.
proxy_options WithoutTimeLimits() {
  caller_limits limits;
  limits.idle_time = std::chrono::hours(1);
  limits.head_time = std::chrono::hours(1);
  limits.body_time = std::chrono::hours(1);
  limits.contended_read_time = milliseconds(0);
  limits.contention_check_interval = milliseconds(1);
  proxy_options options = WithLimits(limits);
  options.server.max_threads = 2;
  return options;
}

// A target that answers every request, and a proxy in front of it.
struct served_proxy {
  explicit served_proxy(proxy_options options = {})
      : target({[this](raw_connection& connection) {
          target.Answer(PlainResponse(200, "fine"))(connection);
        }}),
        fixture({target.port()}, std::move(options)) {}

  scripted_target target;
  proxy_fixture fixture;
};

// Guards against a second request that hides in the first one (smuggling).
TEST(CallerServerTest, RefusesAmbiguousRequestsAndClosesTheConnection) {
  served_proxy proxy;
  const std::string hidden = "GET /lookup/hidden HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const std::string_view framing :
       {"Content-Length: 0\r\nContent-Length: 45\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: xchunked\r\n", "X: y\r\n Content-Length: 45\r\n",
        "Content-Length: 0\r\nTransfer-Encoding\r\n : chunked\r\n"}) {
    raw_connection caller = raw_connection::To(proxy.fixture.proxy->port());
    caller.Send("POST /lookup HTTP/1.1\r\nHost: a\r\n" + std::string(framing) +
                "\r\n0\r\n\r\n" + hidden);
    const std::string everything = caller.ReceiveAll();
    EXPECT_EQ(StatusOf(everything), 400) << framing;
    EXPECT_EQ(everything.rfind("HTTP/1.1"), 0U) << framing;
    EXPECT_EQ(HeaderOf(everything, "X-Outcome"), "refused");
    EXPECT_EQ(HeaderOf(everything, "Connection"), "close");
  }
  EXPECT_TRUE(proxy.target.Requests().empty());
}

// Guards against paths that slip past the routes.
TEST(CallerServerTest, RefusesAmbiguousPaths) {
  served_proxy proxy;
  EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookup/../issue")), 400);
  EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookup/%2e%2e/issue")), 400);
  EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookup%2f..%2fissue")), 400);
  EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookups")), 404);
  EXPECT_TRUE(proxy.target.Requests().empty());
}

// Guards against memory that callers fill without a bound.
TEST(CallerServerTest, BoundsHeadAndBody) {
  served_proxy proxy;
  const std::string large_head = proxy.fixture.Ask(
      "GET /lookup HTTP/1.1\r\nHost: a\r\nX: " + std::string(9000, 'x'));
  EXPECT_EQ(StatusOf(large_head), 431);
  const std::string large_body = proxy.fixture.Ask(
      "POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n");
  EXPECT_EQ(StatusOf(large_body), 413);
  const std::string large_chunk = proxy.fixture.Ask(
      "POST /lookup HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "100001\r\n");
  EXPECT_EQ(StatusOf(large_chunk), 413);
  const std::string huge_chunk = proxy.fixture.Ask(
      "POST /lookup HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nx\r\nffffffffffffffff\r\n");
  EXPECT_EQ(StatusOf(huge_chunk), 413);
}

// Guards against a body that reaches the target changed.
TEST(CallerServerTest, PassesBodiesOnUnchanged) {
  served_proxy proxy;
  const std::string body = "--b\r\nContent-Disposition: form-data\r\n\r\n\xff";
  proxy.fixture.Post("/lookup", body,
                     "Content-Type: multipart/form-data; boundary=b\r\n"
                     "Content-Encoding: gzip\r\nRange: bytes=0-1\r\n");
  raw_connection caller = raw_connection::To(proxy.fixture.proxy->port());
  caller.Send(
      "POST /lookup HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "Expect: 100-continue\r\n\r\n");
  EXPECT_EQ(StatusOf(caller.ReceiveMessage()), 100);
  caller.Send("3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n");
  EXPECT_EQ(StatusOf(caller.ReceiveMessage()), 200);
  const std::vector<std::string> requests = proxy.target.Requests();
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_TRUE(requests[0].ends_with("\r\n\r\n" + body));
  EXPECT_EQ(HeaderOf(requests[0], "Content-Encoding"), "gzip");
  EXPECT_EQ(HeaderOf(requests[0], "Range"), "bytes=0-1");
  EXPECT_TRUE(requests[1].ends_with("\r\n\r\nabcde"));
  EXPECT_EQ(HeaderOf(requests[1], "Transfer-Encoding"), "");
  EXPECT_EQ(HeaderOf(requests[1], "Content-Length"), "5");
}

// Guards against responses to HEAD that leave the connection out of step.
TEST(CallerServerTest, FramesResponsesWithoutBody) {
  scripted_target target(
      {[](raw_connection& connection) {
         connection.ReceiveMessage();
         connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
         connection.ReceiveAll();
       },
       [](raw_connection& connection) {
         connection.ReceiveMessage();
         connection.Send("HTTP/1.1 204 No Content\r\n\r\n");
         connection.ReceiveMessage();
         connection.Send(
             "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n");
         connection.ReceiveAll();
       }});
  proxy_fixture fixture({target.port()});
  raw_connection caller = raw_connection::To(fixture.proxy->port());
  caller.Send("HEAD /lookup HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.Send(std::string(kGet) + std::string(kGet) +
              "GET /none HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::string everything = caller.ReceiveAll();
  std::vector<int> statuses;
  std::size_t start = everything.find("HTTP/1.1 ");
  while (start != std::string::npos) {
    statuses.push_back(StatusOf(everything.substr(start)));
    start = everything.find("HTTP/1.1 ", start + 1);
  }
  EXPECT_EQ(statuses, (std::vector<int>{200, 204, 304, 404}));
  EXPECT_EQ(HeaderOf(everything, "Content-Length"), "4");
  EXPECT_EQ(target.connections(), 2);
}

// Guards against threads that are held by callers who send slowly.
TEST(CallerServerTest, EndsSlowRequests) {
  caller_limits limits;
  limits.head_time = milliseconds(50);
  limits.body_time = milliseconds(50);
  served_proxy proxy(WithLimits(limits));
  raw_connection slow_head = raw_connection::To(proxy.fixture.proxy->port());
  slow_head.Send("GET /lookup HTTP/1.1\r\nHo");
  EXPECT_EQ(StatusOf(slow_head.ReceiveAll()), 408);
  raw_connection slow_body = raw_connection::To(proxy.fixture.proxy->port());
  slow_body.Send(
      "POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
  EXPECT_EQ(StatusOf(slow_body.ReceiveAll()), 408);
}

// Guards against idle callers that keep all threads from working ones.
TEST(CallerServerTest, ClosesIdleConnectionsForWorkingOnes) {
  caller_limits limits;
  limits.idle_time = std::chrono::hours(1);
  proxy_options options = WithLimits(limits);
  options.server.max_threads = 4;
  served_proxy proxy(options);
  std::vector<raw_connection> idle;
  idle.reserve(4);
  for (int index = 0; index < 4; ++index) {
    idle.push_back(raw_connection::To(proxy.fixture.proxy->port()));
  }
  for (int index = 0; index < 8; ++index) {
    EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookup")), 200);
  }
}

// Guards against callers that keep connections for later requests and thereby
// all threads from working ones.
TEST(CallerServerTest, ClosesIdleKeepAliveConnectionsForWorkingOnes) {
  caller_limits limits;
  limits.idle_time = std::chrono::hours(1);
  proxy_options options = WithLimits(limits);
  options.server.max_threads = 4;
  served_proxy proxy(options);
  std::vector<raw_connection> callers;
  for (int index = 0; index < 3; ++index) {
    callers.push_back(raw_connection::To(proxy.fixture.proxy->port()));
    callers.back().Send(kGet);
    const std::string response = callers.back().ReceiveMessage();
    EXPECT_EQ(StatusOf(response), 200);
    EXPECT_EQ(HeaderOf(response, "Connection"), "");
  }
  // Holds the last thread, so that the working caller finds none.
  raw_connection silent = raw_connection::To(proxy.fixture.proxy->port());
  for (int index = 0; index < 8; ++index) {
    EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookup")), 200);
  }
}

// Guards against callers that send slowly on every thread and thereby keep a
// working one waiting for ever.
TEST(CallerServerTest, ServesAWorkingCallerBesideSlowSendersAtTheBound) {
  caller_limits limits;
  limits.idle_time = std::chrono::hours(1);
  limits.head_time = milliseconds(50);
  limits.body_time = milliseconds(50);
  proxy_options options = WithLimits(limits);
  options.server.max_threads = 4;
  served_proxy proxy(options);
  std::vector<raw_connection> slow;
  for (const std::string_view part :
       {"GET /lookup HTTP/1.1\r\nHo", "G",
        "POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab",
        "POST /lookup HTTP/1.1\r\nHost: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n9\r\nab"}) {
    slow.push_back(raw_connection::To(proxy.fixture.proxy->port()));
    slow.back().Send(part);
  }
  // Connections are accepted in order, so that this one comes behind them.
  EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookup")), 200);
}

// Guards against slow senders that hold all threads up to their time limits
// while another caller waits.
TEST(CallerServerTest, SlowSendersGiveWayToWaitingCallers) {
  served_proxy proxy(WithoutTimeLimits());
  const std::uint16_t port = proxy.fixture.proxy->port();
  raw_connection slow_head = raw_connection::To(port);
  slow_head.Send("GET /lookup HTTP/1.1\r\nHo");
  raw_connection slow_body = raw_connection::To(port);
  slow_body.Send(
      "POST /lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
  while (proxy.fixture.proxy->RequestsInFlight() < 2) {
    std::this_thread::yield();
  }
  for (int index = 0; index < 4; ++index) {
    EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookup")), 200);
  }
}

// Guards against a slow sender that is turned away although nobody waits.
TEST(CallerServerTest, SlowSendersKeepTheirThreadWhileNobodyWaits) {
  served_proxy proxy(WithoutTimeLimits());
  raw_connection slow = raw_connection::To(proxy.fixture.proxy->port());
  slow.Send("GET /lookup HTTP/1.1\r\nHo");
  while (proxy.fixture.proxy->RequestsInFlight() < 1) {
    std::this_thread::yield();
  }
  EXPECT_EQ(StatusOf(proxy.fixture.Get("/lookup")), 200);
  slow.Send("st: a\r\n\r\n");
  EXPECT_EQ(StatusOf(slow.ReceiveMessage()), 200);
}

// Guards against idle connections that are never closed.
TEST(CallerServerTest, ClosesConnectionsAfterTheIdleTime) {
  caller_limits limits;
  limits.idle_time = milliseconds(30);
  served_proxy proxy(WithLimits(limits));
  raw_connection caller = raw_connection::To(proxy.fixture.proxy->port());
  caller.Send(kGet);
  EXPECT_EQ(StatusOf(caller.ReceiveAll()), 200);
}

// Guards against callers that wait without an answer when the host is full.
TEST(CallerServerTest, RefusesConnectionsBeyondItsBounds) {
  std::mutex mutex;
  std::condition_variable changed;
  bool may_answer = false;
  scripted_target target({[&](raw_connection& connection) {
    connection.ReceiveMessage();
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait(lock, [&] { return may_answer; });
    connection.Send(PlainResponse(200, "fine"));
  }});
  proxy_options options;
  options.server.max_threads = 1;
  options.server.max_pending_connections = 1;
  proxy_fixture fixture({target.port()}, options);
  raw_connection working = raw_connection::To(fixture.proxy->port());
  working.Send(kGet);
  while (target.connections() == 0) {
    std::this_thread::yield();
  }
  raw_connection waiting = raw_connection::To(fixture.proxy->port());
  waiting.Send(kGet);
  raw_connection refused = raw_connection::To(fixture.proxy->port());
  const std::string response = refused.ReceiveAll();
  // The request is not read, so that it may carry a key that ran before.
  EXPECT_EQ(StatusOf(response), 502);
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "unknown");
  EXPECT_EQ(HeaderOf(response, "X-Outcome-Reason"), "threads-exhausted");
  {
    const std::lock_guard<std::mutex> lock(mutex);
    may_answer = true;
  }
  changed.notify_all();
  EXPECT_EQ(HeaderOf(working.ReceiveAll(), "Connection"), "close");
  EXPECT_EQ(StatusOf(waiting.ReceiveAll()), 200);
}

// Guards against targets that work for a caller who is gone.
TEST(CallerServerTest, CancelsIdempotentWorkWhenItsCallerLeaves) {
  scripted_target target({[](raw_connection& connection) {
    connection.ReceiveMessage();
    // Returns when the host closes the connection.
    connection.ReceiveAll();
  }});
  proxy_fixture fixture({target.port()});
  raw_connection caller = raw_connection::To(fixture.proxy->port());
  caller.Send(kGet);
  while (target.connections() == 0) {
    std::this_thread::yield();
  }
  caller.Close();
  while (fixture.targets.Reports().empty()) {
    std::this_thread::yield();
  }
  EXPECT_EQ(fixture.targets.Reports()[0].outcome,
            attempt_result::kCancelledByCaller);
  EXPECT_TRUE(fixture.targets.IsBalanced());
}

// Guards against discovery requests that are proxied or refused.
TEST(CallerServerTest, AnswersDiscoveryRequests) {
  proxy_fixture fixture({});
  const std::string found = fixture.Get("/_bulrush/hosts?service=archive&x");
  EXPECT_EQ(StatusOf(found), 200);
  EXPECT_TRUE(found.ends_with(R"({"service":"archive"})"));
  EXPECT_EQ(StatusOf(fixture.Get("/_bulrush/other")), 404);
  EXPECT_EQ(StatusOf(fixture.Post("/_bulrush/hosts", "")), 405);
}

// Guards against requests that cannot be followed through the logs.
TEST(CallerServerTest, GivesEachRequestAnId) {
  served_proxy proxy;
  const std::string given = proxy.fixture.Ask(
      "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: mine-1\r\n\r\n");
  EXPECT_EQ(HeaderOf(given, "X-Request-Id"), "mine-1");
  EXPECT_EQ(HeaderOf(proxy.target.Requests()[0], "X-Request-Id"), "mine-1");
  EXPECT_EQ(HeaderOf(proxy.fixture.Get("/none"), "X-Request-Id").size(), 16U);
  const std::string faulty = proxy.fixture.Ask(
      "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Request-Id: a b\r\n\r\n");
  EXPECT_EQ(HeaderOf(faulty, "X-Request-Id").size(), 16U);
}

}  // namespace
}  // namespace bulrushshore

#include <algorithm>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

scripted_reply NotExecuted(const proxy_request&) {
  return {.bytes =
              "HTTP/1.1 503 \r\nX-Not-Executed: 1\r\n"
              "Content-Length: 0\r\n\r\n"};
}

TEST_F(GatewayTest, ForwardsARequestAndItsResponse) {
  ApplyRules();
  scripted_target& target = AddTarget("t1", [](const proxy_request& request) {
    return scripted_target::Success(request, "whole body");
  });
  SendRequest("/read/x?y=1");
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].status, 200);
  EXPECT_EQ(responses[0].body, "whole body");
  EXPECT_EQ(responses[0].headers.Find("X-Signature"), "s");
  ASSERT_EQ(target.requests().size(), 1U);
  const proxy_request& received = target.requests()[0];
  EXPECT_EQ(received.target, "/read/x?y=1");
  EXPECT_EQ(received.headers.Find("X-Expected"), "t1");
  const std::optional<std::uint64_t> deadline =
      ParseDecimal(received.headers.Find("X-Deadline").value_or(""));
  ASSERT_TRUE(deadline);
  EXPECT_LE(*deadline, 1000U);
  EXPECT_GT(*deadline, 900U);
}

// Guards against a 404 from a host that has no rules yet: it cannot know which
// routes exist.
TEST_F(GatewayTest, RefusesRequestsBeforeItHasRules) {
  SendRequest("/read/x");
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].status, 503);
}

TEST_F(GatewayTest, RejectsUnknownRoutesAndMissingTargetsAtOnce) {
  ApplyRules();
  SendRequest("/none/x");
  EXPECT_EQ(Receive()[0].status, 404);
  SendRequest("/read/x");
  const proxy_response refusal = Receive()[0];
  EXPECT_EQ(refusal.status, 503);
  EXPECT_TRUE(refusal.headers.Find("Retry-After"));
}

// Guards against running a request that is not idempotent twice: after a reset
// the target may already have run it.
TEST_F(GatewayTest, NeverRetriesARequestThatMayHaveRun) {
  ApplyRules();
  const scripted_target::script reset = [](const proxy_request&) {
    return scripted_reply{.bytes = "", .closes_after = true, .resets = true};
  };
  AddTarget("t1", reset);
  AddTarget("t2", reset);
  SendRequest("/pay/x", "1", "POST");
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].status, 502);
  EXPECT_EQ(targets_[0]->requests().size() + targets_[1]->requests().size(),
            1U);
}

TEST_F(GatewayTest, RetriesARequestThatDidNotRunAtAnotherTarget) {
  ApplyRules();
  bool is_first = true;
  const scripted_target::script reply = [&is_first](
                                            const proxy_request& request) {
    return std::exchange(is_first, false) ? NotExecuted(request)
                                          : scripted_target::Success(request);
  };
  AddTarget("t1", reply);
  AddTarget("t2", reply);
  SendRequest("/pay/x", "1", "POST");
  EXPECT_EQ(Receive()[0].status, 200);
}

TEST_F(GatewayTest, RefusesARequestThatNoTargetRan) {
  ApplyRules();
  AddTarget("t1", NotExecuted);
  AddTarget("t2", NotExecuted);
  SendRequest("/pay/x", "1", "POST");
  EXPECT_EQ(Receive()[0].status, 503);
}

// Guards against using an address that a removed target had and that now
// belongs to a target of another service, which responds with 421.
TEST_F(GatewayTest, StopsUsingATargetWhoseAddressBelongsToAnother) {
  ApplyRules();
  AddTarget("t1", [](const proxy_request&) {
    return scripted_reply{.bytes =
                              "HTTP/1.1 421 \r\nContent-Length: 0\r\n\r\n"};
  });
  SendRequest("/pay/x", "1", "POST");
  EXPECT_EQ(Receive()[0].status, 503);
  EXPECT_TRUE(state_.targets().UsableTargets("s").empty());
}

// Guards against refusing a request that no target of its service has seen:
// while the list is unavailable, several addresses may belong to targets of
// other services, which respond with 421.
TEST_F(GatewayTest, WrongTargetsDoNotCountAsAttempts) {
  ApplyRules();
  const scripted_target::script misdirected = [](const proxy_request&) {
    return scripted_reply{.bytes =
                              "HTTP/1.1 421 \r\nContent-Length: 0\r\n\r\n"};
  };
  AddTarget("t1", misdirected);
  AddTarget("t2", misdirected);
  AddTarget("t3", misdirected);
  scripted_target& right = AddTarget("t4", [](const proxy_request& request) {
    return scripted_target::Success(request);
  });
  // Lets the service earn the retries.
  SendRequest("/pay/x", "0", "POST");
  EXPECT_FALSE(Receive().empty());
  RunFor(milliseconds(500));
  for (int request = 1; request <= 4; ++request) {
    SendRequest("/pay/x", std::to_string(request), "POST");
    EXPECT_EQ(Receive()[0].status, 200);
  }
  EXPECT_GE(right.requests().size(), 4U);
}

// Guards against a late second copy of a response that carries no attempt id
// being taken for the response to the next request on the connection. A refusal
// would send work that must not run twice to a second target.
TEST_F(GatewayTest, ResponsesWithoutAnIdOnAReusedConnectionProveNothing) {
  ApplyRules();
  int requests = 0;
  const scripted_target::script reply = [&](const proxy_request& request) {
    return requests++ == 0 ? scripted_target::Success(request)
                           : NotExecuted(request);
  };
  scripted_target& target = AddTarget("t1", reply);
  SendRequest("/pay/x", "1", "POST");
  EXPECT_EQ(Receive()[0].status, 200);
  SendRequest("/pay/x", "2", "POST");
  EXPECT_EQ(Receive()[0].status, 502);
  EXPECT_EQ(target.connections_accepted(), 1);
}

TEST_F(GatewayTest, NeverDeliversATruncatedResponse) {
  ApplyRules();
  const scripted_target::script truncated = [](const proxy_request& request) {
    return scripted_reply{
        .bytes = "HTTP/1.1 200 \r\nX-Signature: s\r\nX-Attempt: " +
                 request.headers.Find("X-Attempt").value_or("") +
                 "\r\nContent-Length: 10\r\n\r\nhalf",
        .closes_after = true};
  };
  AddTarget("t1", truncated);
  AddTarget("t2", truncated);
  SendRequest("/read/x");
  EXPECT_EQ(Receive()[0].status, 502);
}

// Guards against delivering a response to another request: a target may send a
// second response to an earlier request before the one that is expected.
TEST_F(GatewayTest, DiscardsResponsesToOtherRequests) {
  ApplyRules();
  AddTarget("t1", [](const proxy_request& request) {
    proxy_request other = request;
    other.headers.Set("X-Attempt", "other");
    return scripted_reply{.bytes =
                              scripted_target::Success(other, "wrong").bytes +
                              scripted_target::Success(request, "right").bytes};
  });
  SendRequest("/read/x");
  EXPECT_EQ(Receive()[0].body, "right");
}

TEST_F(GatewayTest, DoesNotReuseAConnectionWithExtraBytes) {
  ApplyRules();
  scripted_target& target = AddTarget("t1", [](const proxy_request& request) {
    scripted_reply reply = scripted_target::Success(request);
    reply.bytes += "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nextra";
    return reply;
  });
  SendRequest("/read/x", "1");
  EXPECT_EQ(Receive()[0].body, "ok");
  SendRequest("/read/x", "2");
  EXPECT_EQ(Receive()[0].body, "ok");
  EXPECT_EQ(target.connections_accepted(), 2);
}

TEST_F(GatewayTest, ReusesAConnectionWithoutExtraBytes) {
  ApplyRules();
  scripted_target& target = AddTarget("t1", [](const proxy_request& request) {
    return scripted_target::Success(request);
  });
  for (const char* attempt : {"1", "2", "3"}) {
    SendRequest("/pay/x", attempt, "POST");
    EXPECT_EQ(Receive()[0].status, 200);
  }
  EXPECT_EQ(target.connections_accepted(), 1);
}

TEST_F(GatewayTest, SendsPipelinedResponsesInOrder) {
  ApplyRules();
  AddTarget("t1", [](const proxy_request& request) {
    scripted_reply reply = scripted_target::Success(
        request, request.headers.Find("X-Attempt").value_or(""));
    reply.delay = request.headers.Find("X-Attempt") == "1" ? milliseconds(100)
                                                           : milliseconds(0);
    return reply;
  });
  SendRequest("/read/a", "1");
  SendRequest("/read/b", "2");
  SendRequest("/read/c", "3");
  const std::vector<proxy_response> responses = Receive(3);
  ASSERT_EQ(responses.size(), 3U);
  EXPECT_EQ(responses[0].body, "1");
  EXPECT_EQ(responses[1].body, "2");
  EXPECT_EQ(responses[2].body, "3");
}

TEST_F(GatewayTest, CancelsIdempotentRequestsWhenTheCallerDisconnects) {
  ApplyRules();
  scripted_target& target = AddTarget("t1", [](const proxy_request& request) {
    scripted_reply reply = scripted_target::Success(request);
    reply.delay = milliseconds(800);
    return reply;
  });
  SendRequest("/read/x");
  RunUntil([&] { return !target.requests().empty(); }, milliseconds(1000));
  caller_.close();
  RunUntil([&] { return target.connections_closed_before_reply() > 0; },
           milliseconds(500));
  EXPECT_EQ(target.connections_closed_before_reply(), 1);
}

TEST_F(GatewayTest, CompletesOtherRequestsWhenTheCallerDisconnects) {
  ApplyRules();
  scripted_target& target = AddTarget("t1", [](const proxy_request& request) {
    scripted_reply reply = scripted_target::Success(request);
    reply.delay = milliseconds(200);
    return reply;
  });
  SendRequest("/pay/x", "1", "POST");
  RunUntil([&] { return !target.requests().empty(); }, milliseconds(1000));
  caller_.close();
  RunFor(milliseconds(400));
  EXPECT_EQ(target.connections_closed_before_reply(), 0);
}

TEST_F(GatewayTest, RespondsAtTheTimeoutOfTheRoute) {
  ApplyRules(milliseconds(200));
  AddTarget("t1", [](const proxy_request&) { return scripted_reply{}; });
  const time_point sent = time_.Now();
  SendRequest("/pay/x", "1", "POST");
  EXPECT_EQ(Receive()[0].status, 504);
  EXPECT_LT(time_.Now() - sent, milliseconds(500));
}

// Guards against an idempotent request waiting for an unresponsive target while
// a healthy one could serve it.
TEST_F(GatewayTest, TriesASecondTargetWhenTheFirstIsOverdue) {
  ApplyRules();
  bool is_first = true;
  const scripted_target::script reply = [&is_first](
                                            const proxy_request& request) {
    return std::exchange(is_first, false) ? scripted_reply{}
                                          : scripted_target::Success(request);
  };
  AddTarget("t1", reply);
  AddTarget("t2", reply);
  SendRequest("/read/x");
  EXPECT_EQ(Receive()[0].status, 200);
}

// Guards against suspecting healthy targets: requests of routes whose usual
// duration is unknown counted as overdue, and a target's 504 counted as a
// failure of the target.
TEST_F(GatewayTest, UnknownDurationsAndTimeoutsAreNotEvidence) {
  ApplyRules();
  AddTarget("t1", [](const proxy_request& request) {
    scripted_reply reply{.bytes =
                             "HTTP/1.1 504 \r\nX-Signature: s\r\nX-Attempt: " +
                             request.headers.Find("X-Attempt").value_or("") +
                             "\r\nContent-Length: 0\r\n\r\n"};
    reply.delay = milliseconds(400);
    return reply;
  });
  SendRequest("/pay/x", "1", "POST");
  EXPECT_EQ(Receive()[0].status, 504);
  EXPECT_TRUE(reporter_.observations.empty());
}

// Guards against a request that crashes each target at once: on a connection
// that had carried earlier requests, the loss was taken for that of an idle
// connection, and the request went on to one target after the other.
TEST_F(GatewayTest, HoldsBackARequestThatCrashesTargetsOnUsedConnections) {
  constexpr int kTargets = 6;
  ApplyRules();
  int runs = 0;
  for (int number = 0; number < kTargets; ++number) {
    AddTarget("t" + std::to_string(number), [&runs](
                                                const proxy_request& request) {
      if (request.target != "/pay/poison") {
        return scripted_target::Success(request);
      }
      ++runs;
      return scripted_reply{.bytes = "", .closes_after = true, .resets = true};
    });
  }
  for (int round = 0; round < 5 * kTargets; ++round) {
    SendRequest("/pay/x" + std::to_string(round), "x", "POST");
    ASSERT_EQ(Receive()[0].status, 200);
  }
  for (int attempt = 0; attempt < 2 * kTargets; ++attempt) {
    SendRequest("/pay/poison", "p", "POST");
    const int status = Receive()[0].status;
    EXPECT_TRUE(status == 502 || status == 503) << status;
  }
  EXPECT_LE(runs, 3);
}

TEST_F(GatewayTest, HoldsBackARequestThatCrashesTargets) {
  ApplyRules();
  const scripted_target::script crash = [](const proxy_request&) {
    return scripted_reply{.bytes = "", .closes_after = true, .resets = true};
  };
  AddTarget("t1", crash);
  AddTarget("t2", crash);
  SendRequest("/read/x", "1");
  EXPECT_EQ(Receive()[0].status, 502);
  EXPECT_EQ(reporter_.losses, 2);
  SendRequest("/read/x", "2");
  EXPECT_EQ(Receive()[0].status, 503);
  EXPECT_EQ(targets_[0]->requests().size() + targets_[1]->requests().size(),
            2U);
}

TEST_F(GatewayTest, ALeavingHostRespondsAndClosesTheConnection) {
  ApplyRules();
  AddTarget("t1", [](const proxy_request& request) {
    return scripted_target::Success(request);
  });
  Connect();
  RunFor(milliseconds(20));
  gateway_.BeginLeaving();
  SendRequest("/pay/x", "1", "POST");
  EXPECT_EQ(Receive()[0].status, 200);
  EXPECT_TRUE(Receive().empty());
}

struct request_pair {
  const char* first_method;
  const char* second_method;
};

void PrintTo(const request_pair& pair, std::ostream* out) {
  *out << pair.first_method << " and " << pair.second_method;
}

class LeavingPairTest : public GatewayTest,
                        public testing::WithParamInterface<request_pair> {
 protected:
  // Sends two requests, one behind the other, and calls `leave` while the first
  // one is at its target.
  template <typename Leave>
  std::vector<proxy_response> SendPair(const Leave& leave) {
    ApplyRules();
    target_ = &AddTarget("t1", [](const proxy_request& request) {
      scripted_reply reply = scripted_target::Success(request);
      reply.delay = milliseconds(150);
      return reply;
    });
    SendRequest("/pay/x", "1", GetParam().first_method);
    SendRequest("/read/x", "2", GetParam().second_method);
    RunUntil([this] { return !target_->requests().empty(); },
             milliseconds(500));
    leave();
    return Receive(2);
  }

  std::size_t RequestsWithAttempt(std::string_view attempt) const {
    const std::vector<proxy_request>& received = target_->requests();
    return static_cast<std::size_t>(
        std::count_if(received.begin(), received.end(),
                      [attempt](const proxy_request& request) {
                        return request.headers.Find("X-Attempt") == attempt;
                      }));
  }

  scripted_target* target_ = nullptr;
};

// Guards against a request that waits behind another one when the host is asked
// to leave: it was passed on to a target, and its response was dropped behind
// the one that closed the connection.
TEST_P(LeavingPairTest, AReadRequestIsServedBeforeTheConnectionCloses) {
  const std::vector<proxy_response> responses =
      SendPair([this] { gateway_.BeginLeaving(); });
  ASSERT_EQ(responses.size(), 2U);
  EXPECT_EQ(responses[0].status, 200);
  EXPECT_EQ(responses[1].status, 200);
  EXPECT_EQ(RequestsWithAttempt("2"), 1U);
  EXPECT_TRUE(Receive().empty());
}

TEST_P(LeavingPairTest, ARequestThatIsNotAnsweredIsNotPassedOn) {
  const std::vector<proxy_response> responses = SendPair([this] {
    gateway_.BeginLeaving();
    gateway_.BeginRefusing();
  });
  ASSERT_EQ(responses.size(), 2U);
  EXPECT_EQ(responses[0].status, 200);
  const bool was_passed_on = RequestsWithAttempt("2") > 0;
  EXPECT_EQ(responses[1].status, was_passed_on ? 200 : 503);
}

INSTANTIATE_TEST_SUITE_P(Methods,
                         LeavingPairTest,
                         testing::Values(request_pair{"POST", "POST"},
                                         request_pair{"POST", "GET"},
                                         request_pair{"GET", "POST"},
                                         request_pair{"GET", "GET"}));

// Guards against a request that follows one that closes its connection.
TEST_F(GatewayTest, ARequestBehindAClosingOneIsNotPassedOn) {
  ApplyRules();
  scripted_target& target = AddTarget("t1", [](const proxy_request& request) {
    return scripted_target::Success(request);
  });
  Send(
      "POST /pay/x HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\nX-Deadline: 5000\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n");
  SendRequest("/pay/y", "2", "POST");
  EXPECT_EQ(Receive(2).size(), 1U);
  EXPECT_EQ(target.requests().size(), 1U);
}

// Guards against a host that stops while a response is only partly sent. A host
// that shuts down ends once no request is unanswered, and the rest of the
// response is lost with the process.
TEST_F(GatewayTest, AResponseCountsAsUnansweredUntilItIsSent) {
  constexpr std::size_t kBodyBytes = std::size_t{7} << 20;
  // Long enough to read the body with sanitizers.
  constexpr milliseconds kTimeout{4000};
  ApplyRules(kTimeout);
  AddTarget("t1", [](const proxy_request& request) {
    return scripted_target::Success(request, std::string(kBodyBytes, 'x'));
  });
  // The caller does not read, so most of the response stays with the host.
  SendRequest("/pay/x", "1", "POST");
  RunUntil([this] { return caller_.available() > 0; }, kTimeout);
  gateway_.BeginLeaving();
  RunFor(milliseconds(100));
  EXPECT_EQ(gateway_.UnansweredRequests(), 1U);
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].body.size(), kBodyBytes);
  EXPECT_EQ(gateway_.UnansweredRequests(), 0U);
}

class SlowReaderTest : public GatewayTest {
 protected:
  static constexpr milliseconds kIdleTimeout{200};

  // Sends a request for a large response on a connection with a small receive
  // buffer.
  void Request(std::size_t body_bytes) {
    rule_set rules;
    rules.version = 1;
    rules.limits.idle_timeout = kIdleTimeout;
    route_rule route;
    route.name = "read";
    route.host_name = "h";
    route.path_prefix = "/read/";
    route.services = {{"s", 1.0}};
    route.timeout = milliseconds(2000);
    rules.routes["read"] = route;
    ASSERT_TRUE(state_.SetRules(std::make_shared<const rule_set>(rules)));
    AddTarget("t1", [body_bytes](const proxy_request& request) {
      return scripted_target::Success(request, std::string(body_bytes, 'x'));
    });
    caller_.open(boost::asio::ip::tcp::v4());
    caller_.set_option(boost::asio::socket_base::receive_buffer_size(8192));
    Connect();
    SendRequest("/read/x");
  }

  // Reads pieces with pauses until the connection ends or `limit` bytes are
  // read.
  std::size_t ReadSlowly(std::size_t limit, milliseconds pause) {
    std::size_t size = 0;
    socket_error error;
    caller_.non_blocking(true);
    while (size < limit && (!error || error == asio::error::would_block)) {
      RunFor(pause);
      size += caller_.read_some(boost::asio::buffer(buffer_), error);
    }
    return size;
  }
};

// Guards against cutting a response that its caller reads slowly: the whole
// write had to end within the idle timeout.
TEST_F(SlowReaderTest, AResponseThatIsReadSlowlyIsNotCut) {
  // More than the kernel takes at once.
  constexpr std::size_t kBodyBytes = std::size_t{7} << 20;
  Request(kBodyBytes);
  const time_point start = time_.Now();
  EXPECT_GE(ReadSlowly(kBodyBytes, milliseconds(5)), kBodyBytes);
  EXPECT_GT(time_.Now() - start, 2 * (kIdleTimeout + milliseconds(500)));
}

// Guards against a process that ends while its kernel still holds a response:
// if the caller sends further bytes then, the kernel resets the connection.
TEST_F(SlowReaderTest, BytesThatTheCallerHasNotReadAreKnown) {
  constexpr std::size_t kBodyBytes = std::size_t{1} << 20;
  Request(kBodyBytes);
  RunUntil([this] { return caller_.available() > 0; }, milliseconds(2000));
  RunUntil([this] { return gateway_.UnansweredRequests() == 0; },
           milliseconds(300));
  EXPECT_TRUE(gateway_.HasUnacknowledgedBytes());
  EXPECT_GE(ReadSlowly(kBodyBytes, milliseconds(1)), kBodyBytes);
  RunUntil([this] { return !gateway_.HasUnacknowledgedBytes(); },
           milliseconds(500));
  EXPECT_FALSE(gateway_.HasUnacknowledgedBytes());
}

// Guards against a host that closes a connection one second after its last
// response, which the kernel still sends: a byte that arrives then resets the
// connection.
TEST_F(SlowReaderTest, AClosingResponseThatIsReadSlowlyIsNotCut) {
  constexpr std::size_t kBodyBytes = std::size_t{1} << 20;
  gateway_.BeginLeaving();
  Request(kBodyBytes);
  const std::size_t read = ReadSlowly(kBodyBytes * 3 / 4, milliseconds(30));
  SendRequest("/read/y", "2");
  RunFor(milliseconds(50));
  EXPECT_GE(read + ReadSlowly(kBodyBytes / 4, milliseconds(5)), kBodyBytes);
}

TEST_F(GatewayTest, RejectsMalformedRequestsAndClosesTheConnection) {
  ApplyRules();
  Send(
      "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  const std::vector<proxy_response> responses = Receive(2);
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].status, 400);
}

TEST_F(GatewayTest, NeverReplacesRulesByOlderOnes) {
  ApplyRules();
  rule_set older;
  older.version = 0;
  EXPECT_FALSE(state_.SetRules(std::make_shared<const rule_set>(older)));
}

class SpoiledLengthTest : public GatewayTest,
                          public testing::WithParamInterface<const char*> {};

// Guards against a target whose answer states another length than it has: it
// ended the host and with it the requests of all other callers, or held its own
// request until the deadline.
TEST_P(SpoiledLengthTest, CostsOnlyItsOwnRequest) {
  ApplyRules(milliseconds(1500));
  scripted_target& sound = AddTarget("t1", [](const proxy_request& request) {
    scripted_reply reply = scripted_target::Success(request);
    reply.delay = milliseconds(200);
    return reply;
  });
  SendRequest("/pay/x", "1", "POST");
  RunUntil([&] { return !sound.requests().empty(); }, milliseconds(500));
  state_.targets().Disown("t1");
  AddTarget("t2", [](const proxy_request&) {
    return scripted_reply{
        .bytes =
            "HTTP/1.1 200 OK\r\nX-Attempt: 2\r\nX-Signature: "
            "s\r\nContent-Length: " +
            std::string(GetParam()) +
            "\r\n\r\nforty-one bytes of a body that is whole.."};
  });
  boost::asio::ip::tcp::socket neighbour = std::move(caller_);
  caller_ = boost::asio::ip::tcp::socket(loop_);
  const time_point start = time_.Now();
  SendRequest("/pay/y", "2", "POST");
  const std::vector<proxy_response> spoiled = Receive();
  ASSERT_EQ(spoiled.size(), 1U);
  EXPECT_EQ(spoiled[0].status, 502);
  EXPECT_LT(time_.Now() - start, milliseconds(500));
  caller_ = std::move(neighbour);
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].status, 200);
}

INSTANTIATE_TEST_SUITE_P(Lengths,
                         SpoiledLengthTest,
                         testing::Values("41414141",
                                         "41414141414",
                                         "4141414141414141",
                                         "9223372036854775807",
                                         "18446744073709551615",
                                         "41414141414141414141414141",
                                         "-41",
                                         "4x1",
                                         "0x41",
                                         ""));

// A head that HTTP does not allow, and the bytes behind it.
struct invalid_head {
  const char* name;
  std::string head;
  std::string body =
      "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n"
      "Content-Length: 6\r\n\r\nforged";
};

void PrintTo(const invalid_head& response, std::ostream* out) {
  *out << response.name;
}

class InvalidHeadTest : public GatewayTest,
                        public testing::WithParamInterface<invalid_head> {};

// Guards against a response that is not HTTP and reaches the caller, and
// against its body, which is delivered as if it were a response of its own.
TEST_P(InvalidHeadTest, IsNotDelivered) {
  ApplyRules();
  scripted_target& target = AddTarget("t1", [](const proxy_request&) {
    return scripted_reply{.bytes = GetParam().head + "\r\n" + GetParam().body,
                          .closes_after = true};
  });
  SendRequest("/pay/x", "1", "POST");
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].status, 502);
  EXPECT_EQ(reporter_.observations,
            std::vector{target_observation::kInvalidResponse});
  EXPECT_EQ(target.requests().size(), 1U);
}

// Guards against such a response on a connection that has carried others, and
// in pieces, of which the first ends behind the head.
TEST_P(InvalidHeadTest, IsNotDeliveredOnAReusedConnection) {
  ApplyRules();
  scripted_target& target =
      AddTarget("t1", [](const proxy_request& request) -> scripted_reply {
        if (request.target == "/pay/first") {
          return scripted_target::Success(request);
        }
        return {.bytes = GetParam().head + "\r\n",
                .next_bytes = GetParam().body,
                .closes_after = true};
      });
  SendRequest("/pay/first", "0", "POST");
  EXPECT_EQ(Receive()[0].status, 200);
  SendRequest("/pay/x", "1", "POST");
  const std::vector<proxy_response> responses = Receive();
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].status, 502);
  EXPECT_EQ(target.connections_accepted(), 1);
}

std::string SignedHead(const std::string& status_and_fields) {
  return "HTTP/1.1 " + status_and_fields +
         "\r\nX-Attempt: 1\r\nX-Signature: s\r\n";
}

INSTANTIATE_TEST_SUITE_P(
    Statuses,
    InvalidHeadTest,
    testing::Values(
        invalid_head{"status_000", SignedHead("000 Trouble")},
        invalid_head{"status_000_with_length",
                     SignedHead("000 Trouble\r\nContent-Length: 6"), "forged"},
        invalid_head{"status_099", SignedHead("099 Trouble")},
        invalid_head{"status_600", SignedHead("600 Trouble")},
        invalid_head{"status_999", SignedHead("999 Trouble")},
        invalid_head{"status_of_two_digits", SignedHead("20 OK")},
        invalid_head{"status_of_four_digits", SignedHead("2000 OK")},
        invalid_head{"switching_protocols",
                     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"}));

INSTANTIATE_TEST_SUITE_P(
    Framings,
    InvalidHeadTest,
    testing::Values(
        invalid_head{"interim_response_with_length",
                     "HTTP/1.1 103 Early Hints\r\nContent-Length: 85\r\n"},
        invalid_head{
            "interim_response_in_chunks",
            "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n"},
        invalid_head{"no_content_with_length",
                     SignedHead("204 No Content\r\nContent-Length: 6"),
                     "forged"},
        invalid_head{"no_content_in_chunks",
                     SignedHead("204 No Content\r\nTransfer-Encoding: chunked"),
                     "6\r\nforged\r\n0\r\n\r\n"},
        invalid_head{"unknown_transfer_coding",
                     SignedHead("200 OK\r\nTransfer-Encoding: gzip"), "part"},
        invalid_head{"unknown_transfer_coding_with_length",
                     SignedHead("200 OK\r\nTransfer-Encoding: gzip\r\n"
                                "Content-Length: 6"),
                     "forged"},
        invalid_head{"empty_transfer_coding",
                     SignedHead("200 OK\r\nTransfer-Encoding:"), "part"},
        invalid_head{"two_transfer_codings",
                     SignedHead("200 OK\r\nTransfer-Encoding: gzip, chunked"),
                     "6\r\nforged\r\n0\r\n\r\n"},
        invalid_head{"two_transfer_coding_fields",
                     SignedHead("200 OK\r\nTransfer-Encoding: gzip\r\n"
                                "Transfer-Encoding: chunked"),
                     "6\r\nforged\r\n0\r\n\r\n"},
        invalid_head{"chunks_and_length",
                     SignedHead("200 OK\r\nTransfer-Encoding: chunked\r\n"
                                "Content-Length: 6"),
                     "6\r\nforged\r\n0\r\n\r\n"},
        invalid_head{"chunks_in_http_1_0",
                     "HTTP/1.0 200 OK\r\nX-Attempt: 1\r\nX-Signature: s\r\n"
                     "Transfer-Encoding: chunked\r\n",
                     "6\r\nforged\r\n0\r\n\r\n"}));

INSTANTIATE_TEST_SUITE_P(
    FieldNames,
    InvalidHeadTest,
    testing::Values(
        invalid_head{"blank_in_a_name", SignedHead("200 OK\r\nBad Name: x")},
        invalid_head{"blank_behind_a_name",
                     SignedHead("200 OK\r\nContent-Length : 6"), "forged"},
        invalid_head{"tab_behind_a_name",
                     SignedHead("200 OK\r\nTransfer-Encoding\t: chunked"),
                     "6\r\nforged\r\n0\r\n\r\n"},
        invalid_head{"blank_before_the_first_name",
                     SignedHead("200 OK\r\n Content-Length: 6"), "forged"},
        invalid_head{"control_byte_in_a_name",
                     SignedHead("200 OK\r\nContent-Length\x01: 6"), "forged"},
        invalid_head{
            "null_byte_in_a_name",
            SignedHead(std::string("200 OK\r\nContent-Length\0: 6", 26)),
            "forged"},
        invalid_head{"delete_byte_in_a_name",
                     SignedHead("200 OK\r\nBad\x7fName: x"), "part"},
        invalid_head{"empty_name", SignedHead("200 OK\r\n: x"), "part"},
        invalid_head{"line_without_colon", SignedHead("200 OK\r\nBad"), "part"},
        invalid_head{"line_feed_alone",
                     SignedHead("200 OK\r\nX: y\nContent-Length: 6"), "forged"},
        invalid_head{"control_byte_in_a_value",
                     SignedHead("200 OK\r\nContent-Type: \x01"), "part"},
        invalid_head{"control_byte_in_the_reason", SignedHead("200 O\x01K"),
                     "part"}));

// Guards against a body that follows a response without one later and is read
// as the response to the next request.
TEST_F(GatewayTest, DoesNotReuseAConnectionOnWhichABodyMayFollow) {
  ApplyRules();
  scripted_target& target =
      AddTarget("t1", [](const proxy_request& request) -> scripted_reply {
        if (request.headers.Find("X-Attempt") == "1") {
          return {.bytes =
                      "HTTP/1.1 304 Not Modified\r\nX-Attempt: 1\r\n"
                      "Content-Length: 5\r\n\r\n"};
        }
        return scripted_target::Success(request);
      });
  SendRequest("/read/x", "1");
  EXPECT_EQ(Receive()[0].status, 304);
  SendRequest("/read/x", "2");
  EXPECT_EQ(Receive()[0].status, 200);
  EXPECT_EQ(target.connections_accepted(), 2);
}

// Guards against interim responses that are taken for the response.
TEST_F(GatewayTest, PassesOverInterimResponsesOfTargets) {
  ApplyRules();
  AddTarget("t1", [](const proxy_request& request) {
    scripted_reply reply = scripted_target::Success(request);
    reply.bytes =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
        "Link: </x>\r\n\r\n" +
        reply.bytes;
    return reply;
  });
  SendRequest("/pay/x", "1", "POST");
  EXPECT_EQ(Receive()[0].body, "ok");
}

}  // namespace
}  // namespace bulrushshore

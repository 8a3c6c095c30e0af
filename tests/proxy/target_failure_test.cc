#include <gtest/gtest.h>

#include "tests/proxy/proxy_fixture.h"

namespace bulrushshore {
namespace {

using script = scripted_target::script;

const std::string kKey =
    "Idempotency-Key: " + std::string(kTestKeyPrefix) + "one\r\n";

// How a target fails and what the three kinds of work are told.
struct failure_case {
  const char* name;
  script fail;
  attempt_result reported;
  const char* reason;
  bool may_have_started;
};

void ReadRequest(raw_connection& connection) {
  connection.ReceiveMessage();
}

script AfterRequest(std::string response) {
  return [response = std::move(response)](raw_connection& connection) {
    ReadRequest(connection);
    connection.Send(response);
  };
}

std::vector<failure_case> FailureCases() {
  const std::string large(std::size_t{9} * 1024 * 1024, 'x');
  return {
      {"closed before the first byte", ReadRequest,
       attempt_result::kConnectionLost, "closed-before-response", true},
      {"reset before the first byte",
       [](raw_connection& connection) {
         ReadRequest(connection);
         connection.Reset();
       },
       attempt_result::kConnectionLost, "closed-before-response", true},
      {"closed in the head", AfterRequest("HTTP/1.1 200 OK\r\nContent-Le"),
       attempt_result::kTruncatedAnswer, "closed-during-response", true},
      {"truncated body",
       AfterRequest("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
       attempt_result::kTruncatedAnswer, "closed-during-response", true},
      {"truncated chunks",
       AfterRequest("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "4\r\nhalf\r\n"),
       attempt_result::kTruncatedAnswer, "closed-during-response", true},
      {"unframed", AfterRequest("HTTP/1.1 200 OK\r\n\r\nall or not"),
       attempt_result::kTruncatedAnswer, "response-unframed", true},
      {"ambiguous length",
       AfterRequest("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                    "Content-Length: 2\r\n\r\nab"),
       attempt_result::kTruncatedAnswer, "response-malformed", true},
      {"no HTTP", AfterRequest("SSH-2.0-server\r\n\r\n"),
       attempt_result::kTruncatedAnswer, "response-malformed", true},
      {"oversized", AfterRequest(PlainResponse(200, large)),
       attempt_result::kTruncatedAnswer, "response-too-large", true},
      {"oversized chunk",
       AfterRequest("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "900000\r\n" +
                    large),
       attempt_result::kTruncatedAnswer, "response-too-large", true},
      {"oversized head",
       AfterRequest("HTTP/1.1 200 OK\r\nX: " + large.substr(0, 40'000)),
       attempt_result::kTruncatedAnswer, "response-too-large", true},
      {"shed", AfterRequest(PlainResponse(503, "", "X-Not-Started: 1\r\n")),
       attempt_result::kShed, "target-refused", false},
  };
}

// Guards against idempotent work that fails although another target works, and
// against a broken response that is relayed.
TEST(TargetFailureTest, RetriesIdempotentWorkOnAnotherTarget) {
  for (const failure_case& tried : FailureCases()) {
    SCOPED_TRACE(tried.name);
    scripted_target failing({tried.fail});
    scripted_target working({AfterRequest(PlainResponse(200, "fine"))});
    proxy_fixture fixture({failing.port(), working.port()});
    const std::string response = fixture.Get("/lookup");
    EXPECT_EQ(StatusOf(response), 200);
    EXPECT_TRUE(response.ends_with("fine"));
    ASSERT_EQ(fixture.targets.Reports().size(), 2U);
    EXPECT_EQ(fixture.targets.Reports()[0].outcome, tried.reported);
    EXPECT_EQ(fixture.targets.Requests()[1].attempt, 1U);
    EXPECT_TRUE(fixture.targets.IsBalanced());
  }
}

// Guards against work that runs twice, and against "not run" for work that may
// have run.
TEST(TargetFailureTest, RepeatsOtherWorkOnlyIfItDidNotStart) {
  for (const failure_case& tried : FailureCases()) {
    SCOPED_TRACE(tried.name);
    scripted_target failing({tried.fail});
    scripted_target working({AfterRequest(PlainResponse(201, "fine"))});
    proxy_fixture fixture({failing.port(), working.port()});
    const std::string keyed = fixture.Post("/issue", "bag", kKey);
    const std::string again = fixture.Post("/issue", "bag", kKey);
    if (!tried.may_have_started) {
      EXPECT_EQ(StatusOf(keyed), 201);
      EXPECT_EQ(StatusOf(again), 201);
      EXPECT_EQ(working.connections(), 1);
      continue;
    }
    EXPECT_EQ(HeaderOf(keyed, "X-Outcome"), "unknown");
    EXPECT_EQ(HeaderOf(keyed, "X-Outcome-Reason"), tried.reason);
    EXPECT_EQ(HeaderOf(again, "X-Outcome-Reason"), "key-outcome-unknown");
    EXPECT_EQ(failing.connections(), 1);
    EXPECT_EQ(working.connections(), 0);
    const std::string without_key = fixture.Post("/once", "bag");
    EXPECT_EQ(HeaderOf(without_key, "X-Outcome"), "unknown");
    EXPECT_EQ(working.connections(), 0);
  }
}

// Guards against "unknown" where a caller could safely send its work again.
TEST(TargetFailureTest, TellsThatNothingRanWhenNoTargetAccepts) {
  proxy_fixture fixture({ClosedPort(), ClosedPort()});
  for (const std::string& response :
       {fixture.Get("/lookup"), fixture.Post("/once", "bag"),
        fixture.Post("/issue", "bag", kKey)}) {
    EXPECT_EQ(StatusOf(response), 503);
    EXPECT_EQ(HeaderOf(response, "X-Outcome"), "not-run");
    EXPECT_NE(HeaderOf(response, "Retry-After"), "");
  }
  EXPECT_EQ(fixture.targets.Reports()[0].outcome,
            attempt_result::kConnectFailed);
  EXPECT_TRUE(fixture.targets.IsBalanced());
}

// Guards against retries beyond the budget, and against "not run" when the
// attempt before the refusal may have started.
TEST(TargetFailureTest, RespectsTheRetryBudget) {
  scripted_target failing({ReadRequest});
  proxy_fixture fixture({failing.port(), failing.port()});
  fixture.targets.SetRetryBudget(false);
  const std::string response = fixture.Get("/lookup");
  EXPECT_EQ(HeaderOf(response, "X-Outcome-Reason"), "closed-before-response");
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "unknown");
  EXPECT_EQ(failing.connections(), 1);
}

// Guards against a server error of the target that is hidden from the caller.
TEST(TargetFailureTest, PassesOnTheLastServerError) {
  scripted_target failing({AfterRequest(PlainResponse(500, "broken"))});
  proxy_fixture fixture({failing.port(), failing.port()});
  const std::string response = fixture.Get("/lookup");
  EXPECT_EQ(StatusOf(response), 500);
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "answered");
  EXPECT_TRUE(response.ends_with("broken"));
  EXPECT_EQ(failing.connections(), 2);
  EXPECT_EQ(fixture.targets.Reports()[0].outcome, attempt_result::kServerError);
}

// Guards against a target that holds a request beyond its deadline, here by
// sending single bytes.
TEST(TargetFailureTest, EndsAtTheDeadline) {
  scripted_target slow({[](raw_connection& connection) {
    ReadRequest(connection);
    connection.Send("HTTP/1.1 200 OK\r\nX-Slow: ");
    while (connection.WaitForClose(std::chrono::milliseconds(5))) {
      connection.Send("x");
    }
  }});
  proxy_fixture fixture({slow.port()});
  const std::string response =
      fixture.Post("/once", "bag", "X-Request-Deadline-Ms: 500\r\n");
  EXPECT_EQ(StatusOf(response), 504);
  EXPECT_EQ(HeaderOf(response, "X-Outcome-Reason"), "response-timeout");
  EXPECT_EQ(fixture.targets.Reports()[0].outcome, attempt_result::kTimeout);
}

// Guards against targets that forge headers of the host, and against headers of
// one connection that reach the other.
TEST(TargetFailureTest, RemovesHeadersOfOthers) {
  scripted_target target({AfterRequest(PlainResponse(
      503, "busy",
      "X-Outcome: not-run\r\nX-Served-By: evil\r\nConnection: X-Hop\r\n"
      "X-Hop: 1\r\nX-Draining: 1\r\n"))});
  proxy_fixture fixture({target.port()});
  const std::string response = fixture.Post("/once", "bag");
  EXPECT_EQ(StatusOf(response), 503);
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "answered");
  EXPECT_EQ(HeaderOf(response, "X-Served-By"), "host-1");
  EXPECT_EQ(HeaderOf(response, "X-Hop"), "");
  EXPECT_TRUE(fixture.targets.Reports()[0].is_draining);
}

// Guards against lookups that fail because a target closed a pooled connection.
TEST(TargetFailureTest, ReplacesStalePooledConnections) {
  scripted_target* self = nullptr;
  scripted_target target({[&self](raw_connection& connection) {
                            self->Record(connection);
                            connection.Send(PlainResponse(200, "first"));
                            // Closes at the moment at which the second request
                            // arrives.
                            self->Record(connection);
                          },
                          [&self](raw_connection& connection) {
                            self->Answer(PlainResponse(200, "second"))(
                                connection);
                          }});
  self = &target;
  proxy_fixture fixture({target.port()});
  EXPECT_TRUE(fixture.Get("/lookup").ends_with("first"));
  EXPECT_TRUE(fixture.Get("/lookup").ends_with("second"));
  ASSERT_EQ(fixture.targets.Reports().size(), 3U);
  EXPECT_EQ(fixture.targets.Reports()[1].outcome,
            attempt_result::kStaleConnection);
  EXPECT_TRUE(fixture.targets.Requests()[2].excluded_targets.empty());
}

// Guards against a request that crashes targets and whose caller knows the
// outcome, and so may try another host, before the other hosts know of it.
TEST(TargetFailureTest, ReportsLostTargetsBeforeItAnswers) {
  scripted_target first({ReadRequest});
  scripted_target second({ReadRequest});
  scripted_target third({AfterRequest("HTTP/1.1 200 OK\r\nContent-Le")});
  proxy_fixture fixture({first.port(), second.port(), third.port()});
  EXPECT_EQ(StatusOf(fixture.Get("/lookup")), 502);
  const std::vector<std::string> lost = {"target-1", "target-2"};
  ASSERT_EQ(fixture.crash_reports.size(), 1U);
  EXPECT_EQ(fixture.crash_reports[0], lost);
}

// Guards against reports of requests that were answered in the end.
TEST(TargetFailureTest, ReportsNoLossesOfAnsweredRequests) {
  scripted_target failing({ReadRequest});
  scripted_target working({AfterRequest(PlainResponse(200, "fine"))});
  proxy_fixture fixture({failing.port(), working.port()});
  EXPECT_EQ(StatusOf(fixture.Get("/lookup")), 200);
  EXPECT_TRUE(fixture.crash_reports.empty());
}

// Guards against non-idempotent work on a connection that may just be closing,
// and against pooled connections that are not used again.
TEST(TargetFailureTest, PoolsConnectionsOfIdempotentWorkOnly) {
  scripted_target* self = nullptr;
  scripted_target target({[&self](raw_connection& connection) {
    self->Answer(PlainResponse(200, "fine"))(connection);
  }});
  self = &target;
  proxy_fixture fixture({target.port()});
  fixture.Get("/lookup");
  fixture.Get("/lookup");
  EXPECT_EQ(target.connections(), 1);
  fixture.Post("/once", "bag");
  EXPECT_EQ(target.connections(), 2);
}

}  // namespace
}  // namespace bulrushshore

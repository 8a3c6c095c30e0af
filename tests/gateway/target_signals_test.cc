#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

// Requests that targets send signals about themselves with: they are leaving,
// or they want no requests for some time.
class TargetSignalsTest : public GatewayTest {
 protected:
  // Sends `count` requests one after the other and returns their statuses.
  std::vector<int> SendRequests(int count, std::string_view path = "/read/x") {
    std::vector<int> statuses;
    for (int number = 0; number < count; ++number) {
      SendRequest(path, std::to_string(++attempt_));
      const std::vector<proxy_response> responses = Receive();
      statuses.push_back(responses.empty() ? 0 : responses[0].status);
    }
    return statuses;
  }

  static scripted_target::script Healthy() {
    return [](const proxy_request& request) {
      return scripted_target::Success(request);
    };
  }

  target_entry EntryOf(const std::string& id) const {
    return *state_.targets().Find(id);
  }

 private:
  int attempt_ = 0;
};

// Returns a response of the target with further header lines.
scripted_reply Respond(const proxy_request& request,
                       const std::string& status_line,
                       const std::string& header_lines) {
  return {.bytes = "HTTP/1.1 " + status_line +
                   "\r\nX-Signature: s\r\nX-Attempt: " +
                   request.headers.Find("X-Attempt").value_or("") + "\r\n" +
                   header_lines + "Content-Length: 0\r\n\r\n"};
}

scripted_target::script RespondWith(const std::string& status_line,
                                    const std::string& header_lines) {
  return [=](const proxy_request& request) {
    return Respond(request, status_line, header_lines);
  };
}

// A status line and header lines of a response.
struct response_form {
  std::string status_line;
  std::string header_lines;
};

class LeavingResponseTest : public TargetSignalsTest,
                            public testing::WithParamInterface<response_form> {
};

// Guards against requests to a target that has announced its departure in a
// response, while the target list still names it as usable.
TEST_P(LeavingResponseTest, SendsNoFurtherRequestsToALeavingTarget) {
  ApplyRules();
  scripted_target& leaving = AddTarget(
      "leaving", RespondWith(GetParam().status_line,
                             GetParam().header_lines + "X-Leaving: 1\r\n"));
  SendRequests(1, "/pay/x");
  ASSERT_EQ(leaving.requests().size(), 1U);
  AddTarget("other", Healthy());
  EXPECT_EQ(SendRequests(10), std::vector<int>(10, 200));
  EXPECT_EQ(leaving.requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Statuses,
                         LeavingResponseTest,
                         testing::Values(response_form{"200 OK", ""},
                                         response_form{"500 Error", ""},
                                         response_form{"503 Full",
                                                       "X-Not-Executed: 1\r\n"},
                                         response_form{"404 Missing", ""}));

// Guards against an update of the list, which the target wrote before it
// decided to leave, bringing the target back, and against an entry that was
// removed and restored while the list was unavailable.
TEST_F(TargetSignalsTest, AListEntryDoesNotBringALeavingTargetBack) {
  ApplyRules();
  AddTarget("leaving", RespondWith("200 OK", "X-Leaving: 1\r\n"));
  SendRequests(1);
  target_entry entry = EntryOf("leaving");
  ++entry.sequence;
  state_.targets().Apply(entry, time_.Now());
  EXPECT_TRUE(state_.targets().UsableTargets("s").empty());
  state_.targets().Remove("leaving", time_.Now());
  state_.targets().Apply(entry, time_.Now());
  EXPECT_TRUE(state_.targets().UsableTargets("s").empty());
}

// Guards against excluding the next incarnation of a target that left.
TEST_F(TargetSignalsTest, TheNextIncarnationOfALeavingTargetIsUsed) {
  ApplyRules();
  AddTarget("leaving", RespondWith("200 OK", "X-Leaving: 1\r\n"));
  SendRequests(1);
  target_entry entry = EntryOf("leaving");
  entry.started_at_unix_ms += 5000;
  state_.targets().Apply(entry, time_.Now());
  EXPECT_EQ(state_.targets().UsableTargets("s").size(), 1U);
}

// Guards against other hosts that go on using a leaving target until they read
// its entry, and against one message per response.
TEST_F(TargetSignalsTest, ReportsALeavingTargetOnce) {
  ApplyRules();
  AddTarget("leaving", [](const proxy_request& request) {
    scripted_reply reply = Respond(request, "200 OK", "X-Leaving: 1\r\n");
    reply.delay = milliseconds(50);
    return reply;
  });
  // Both requests are sent before the first response arrives.
  SendRequest("/read/x", "1");
  SendRequest("/read/x", "2");
  EXPECT_EQ(Receive(2).size(), 2U);
  EXPECT_EQ(reporter_.leaving_targets, std::vector<std::string>{"leaving"});
}

// Guards against requests to a target that has asked for none, and against
// callers that wait although no target may be used.
TEST_F(TargetSignalsTest, SendsNoRequestsToATargetThatAskedForARest) {
  ApplyRules();
  scripted_target& busy = AddTarget(
      "busy",
      RespondWith("503 Full", "X-Not-Executed: 1\r\nRetry-After: 0.6\r\n"));
  SendRequests(1);
  ASSERT_EQ(busy.requests().size(), 1U);
  const time_point start = time_.Now();
  SendRequest("/pay/x", "a");
  const proxy_response refusal = Receive()[0];
  EXPECT_EQ(refusal.status, 503);
  EXPECT_LT(time_.Now() - start, milliseconds(200));
  const double retry_after =
      std::stod(refusal.headers.Find("Retry-After").value_or("0"));
  EXPECT_GT(retry_after, 0.3);
  EXPECT_LT(retry_after, 1.2);
  EXPECT_EQ(busy.requests().size(), 1U);
  RunFor(milliseconds(700));
  SendRequests(1);
  EXPECT_EQ(busy.requests().size(), 2U);
}

// Guards against a rest that also holds back the other targets.
TEST_F(TargetSignalsTest, UsesOtherTargetsDuringARest) {
  ApplyRules();
  scripted_target& busy = AddTarget(
      "busy",
      RespondWith("503 Full", "X-Not-Executed: 1\r\nRetry-After: 30\r\n"));
  SendRequests(1);
  AddTarget("other", Healthy());
  EXPECT_EQ(SendRequests(20), std::vector<int>(20, 200));
  EXPECT_EQ(busy.requests().size(), 1U);
}

// Guards against a rest that outlasts the target that asked for it.
TEST_F(TargetSignalsTest, ARestEndsWithTheIncarnation) {
  ApplyRules();
  AddTarget("busy", RespondWith("503 Full",
                                "X-Not-Executed: 1\r\nRetry-After: 30\r\n"));
  SendRequests(1);
  target_entry entry = EntryOf("busy");
  entry.started_at_unix_ms += 5000;
  state_.targets().Apply(entry, time_.Now());
  SendRequests(1);
  EXPECT_EQ(targets_[0]->requests().size(), 2U);
}

// Guards against values that cannot be read taking a target out of use, for
// example a date, which clocks that differ would turn into any time.
TEST_F(TargetSignalsTest, IgnoresARetryAfterThatIsNoNumberOfSeconds) {
  ApplyRules();
  const std::vector<std::string> values = {
      "-5", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "0", "", "nan", "1e9"};
  scripted_target& busy = AddTarget(
      "busy",
      [values, next = std::size_t{0}](const proxy_request& request) mutable {
        return Respond(request, "503 Full",
                       "X-Not-Executed: 1\r\nRetry-After: " +
                           values[next++ % values.size()] + "\r\n");
      });
  SendRequests(static_cast<int>(values.size()));
  EXPECT_EQ(busy.requests().size(), values.size());
}

}  // namespace
}  // namespace bulrushshore

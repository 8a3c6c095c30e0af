#include "libraries/caller/caller.h"

#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/caller/fake_transport.h"

namespace bulrushshore {
namespace {

constexpr std::uint16_t kFirstPort = 1001;
constexpr std::uint16_t kSecondPort = 1002;

transport_response Response(int status, std::string outcome) {
  transport_response response{status, {}, "body"};
  if (!outcome.empty()) {
    response.headers.emplace_back("X-Outcome", std::move(outcome));
  }
  return response;
}

class CallerTest : public testing::Test {
 protected:
  call_result Call(repeat_policy repeat, const std::string& key = "") {
    call_request request;
    request.service = "certificates";
    request.http.method = "POST";
    request.repeat = repeat;
    request.request_id = "r";
    request.key = key;
    return caller_.Call(request, nullptr);
  }

  static host_list TwoHosts(time_point now) {
    host_list list;
    list.fetched_at = now;
    list.hosts = {{"h1", Address(kFirstPort), "a", "bk1.h1.aa.0"},
                  {"h2", Address(kSecondPort), "b", "bk1.h2.bb.7"}};
    return list;
  }

  manual_clock clock_;
  fake_transport transport_;
  advancing_timer timer_{clock_};
  seeded_random random_{1};
  fixed_host_resolver resolver_{TwoHosts(clock_.Now())};
  caller caller_{caller_options{}, resolver_, transport_,
                 timer_,           clock_,    random_};
};

// Guards against requests that fail while another host could serve them.
TEST_F(CallerTest, FailsOverWhenAHostRefusesTheConnection) {
  transport_.Script(kSecondPort, Response(200, ""));
  const call_result outcome = Call(repeat_policy::kIdempotent);
  EXPECT_EQ(outcome.outcome, call_outcome::kAnswered);
  EXPECT_EQ(outcome.host, "h2");
  Call(repeat_policy::kIdempotent);
  EXPECT_EQ(transport_.sent().back().address, Address(kSecondPort));
  EXPECT_EQ(transport_.sent().size(), 3U) << "h1 was not avoided";
}

// Guards against every call waiting for a host that is paused: a host that
// works answers before the transport gives up.
TEST_F(CallerTest, AvoidsAHostThatFellSilent) {
  transport_.Script(kFirstPort, transport_failure::kTimedOut);
  transport_.Script(kSecondPort, Response(200, ""));
  Call(repeat_policy::kOnce);
  EXPECT_EQ(transport_.SentHeader(0, "X-Request-Deadline-Ms"), "4950");
  Call(repeat_policy::kOnce);
  EXPECT_EQ(transport_.sent().at(1).address, Address(kSecondPort));
}

// Guards against a key that only a host without the request could answer for.
TEST_F(CallerTest, BindsTheKeyToAnotherHostWhenTheFirstGotNoByte) {
  transport_.Script(kSecondPort, Response(200, ""));
  const call_result outcome = Call(repeat_policy::kKeyed);
  EXPECT_THAT(outcome.key, testing::StartsWith("bk1.h2.bb.7."));
  EXPECT_THAT(transport_.SentHeader(0, "Idempotency-Key"),
              testing::StartsWith("bk1.h1.aa.0."));
}

// Guards against a payment that runs twice under two keys.
TEST_F(CallerTest, KeepsTheKeyOnceAHostMayHaveReceivedIt) {
  for (const transport_failure failure :
       {transport_failure::kConnectionLost, transport_failure::kTimedOut}) {
    fake_transport transport;
    transport.Script(kFirstPort, failure);
    transport.Script(kSecondPort, Response(502, "unknown"));
    caller client(caller_options{}, resolver_, transport, timer_, clock_,
                  random_);
    call_request request;
    request.repeat = repeat_policy::kKeyed;
    const call_result outcome = client.Call(request, nullptr);
    EXPECT_EQ(outcome.outcome, call_outcome::kUnknown);
    ASSERT_GE(transport.sent().size(), 3U);
    for (std::size_t sent = 0; sent < transport.sent().size(); ++sent) {
      EXPECT_EQ(transport.SentHeader(sent, "Idempotency-Key"), outcome.key);
    }
  }
}

// Guards against work without a key that is sent again after it may have run.
TEST_F(CallerTest, SendsWorkWithoutKeyAgainOnlyIfItDidNotRun) {
  transport_.Script(kFirstPort, Response(503, "not-run"));
  transport_.Script(kSecondPort, transport_failure::kConnectionLost);
  const call_result outcome = Call(repeat_policy::kOnce);
  EXPECT_EQ(outcome.outcome, call_outcome::kUnknown);
  EXPECT_EQ(transport_.sent().size(), 2U);
  EXPECT_EQ(transport_.SentHeader(0, "Idempotency-Key"), "");
}

// Guards against "not run" for a call whose earlier attempt may have run.
TEST_F(CallerTest, ReportsUnknownWhenAnyAttemptMayHaveRun) {
  for (const char* last : {"not-run", "refused", "some-later-word"}) {
    fake_transport transport;
    transport.Script(kFirstPort, transport_failure::kConnectionLost);
    transport.Script(kFirstPort, Response(503, last));
    transport.Script(kSecondPort, Response(503, last));
    caller client(caller_options{}, resolver_, transport, timer_, clock_,
                  random_);
    call_request request;
    request.repeat = repeat_policy::kKeyed;
    EXPECT_EQ(client.Call(request, nullptr).outcome, call_outcome::kUnknown);
  }
}

// Guards against retries that cannot change the outcome.
TEST_F(CallerTest, StopsWhenTheOwnerForgotTheKey) {
  transport_response expired = Response(502, "unknown");
  expired.headers.emplace_back("X-Outcome-Reason", "key-expired");
  transport_.Script(kFirstPort, expired);
  EXPECT_EQ(Call(repeat_policy::kKeyed).outcome, call_outcome::kUnknown);
  EXPECT_EQ(transport_.sent().size(), 1U);
}

// Guards against a retry after the caller's own deadline.
TEST_F(CallerTest, DoesNotWaitPastTheDeadlineForRetryAfter) {
  transport_response busy = Response(503, "not-run");
  busy.headers.emplace_back("Retry-After", "60");
  transport_.Script(kFirstPort, busy);
  const time_point start = clock_.Now();
  const call_result outcome = Call(repeat_policy::kIdempotent);
  EXPECT_EQ(outcome.outcome, call_outcome::kNotRun);
  EXPECT_EQ(transport_.sent().size(), 1U);
  EXPECT_LT(clock_.Now() - start, std::chrono::seconds(5));
}

// Guards against a stored key that is replaced when its work is sent again.
TEST_F(CallerTest, SendsAStoredKeyToItsOwnerFirst) {
  transport_.Script(kSecondPort, Response(200, "answered"));
  const call_result outcome = Call(repeat_policy::kKeyed, "bk1.h2.bb.6.x");
  EXPECT_EQ(outcome.key, "bk1.h2.bb.6.x");
  EXPECT_EQ(transport_.sent().at(0).address, Address(kSecondPort));
}

// Guards against keys of a generation that the host has forgotten: their work
// would be answered "unknown" for ever.
TEST_F(CallerTest, AsksForTheKeyPrefixAgainWhenTheListIsOld) {
  clock_.Advance(std::chrono::minutes(6));
  transport_response prefix{
      200, {}, R"({"key_prefix":"bk1.h1.aa.9","host":"h1"})"};
  transport_.Script(kFirstPort, prefix);
  transport_.Script(kFirstPort, Response(200, ""));
  const call_result outcome = Call(repeat_policy::kKeyed);
  EXPECT_THAT(outcome.key, testing::StartsWith("bk1.h1.aa.9."));
}

// Guards against two calls that share a key, of which one would be given the
// response to the other.
TEST_F(CallerTest, GivesEachCallItsOwnKey) {
  transport_.Script(kFirstPort, Response(200, ""));
  EXPECT_NE(Call(repeat_policy::kKeyed).key, Call(repeat_policy::kKeyed).key);
}

}  // namespace
}  // namespace bulrushshore

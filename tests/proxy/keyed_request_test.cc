#include <thread>

#include <gtest/gtest.h>

#include "tests/proxy/proxy_fixture.h"

namespace bulrushshore {
namespace {

std::string KeyHeader(std::string_view key) {
  return "Idempotency-Key: " + std::string(key) + "\r\n";
}

const std::string kKey = KeyHeader(std::string(kTestKeyPrefix) + "one");
const std::string kKeyOfOther = KeyHeader("bk1.host-2.00000000000000bb.0.one");

// A proxy whose target answers every request.
class KeyedRequestTest : public testing::Test {
 protected:
  std::string Issue(std::string_view headers, std::string_view body = "bag") {
    return fixture_.Post("/issue", body, headers);
  }

  static std::string ReasonOf(const std::string& response) {
    return HeaderOf(response, "X-Outcome-Reason");
  }

  scripted_target target_{{[this](raw_connection& connection) {
    target_.Answer(PlainResponse(201, "paper"))(connection);
  }}};
  proxy_fixture fixture_{{target_.port()}};
};

// Guards against two papers for one bag when a caller sends twice at once.
TEST_F(KeyedRequestTest, RunsAKeyOnceForConcurrentCallers) {
  constexpr int kCallers = 8;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  std::vector<std::string> responses(kCallers);
  for (std::string& response : responses) {
    callers.emplace_back([this, &response] { response = Issue(kKey); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const std::string& response : responses) {
    EXPECT_EQ(StatusOf(response), 201);
    EXPECT_TRUE(response.ends_with("paper"));
  }
  EXPECT_EQ(target_.Requests().size(), 1U);
}

// Guards against a key that covers work of another content, and against
// payments without protection.
TEST_F(KeyedRequestTest, ChecksKeys) {
  EXPECT_EQ(StatusOf(Issue("")), 428);
  EXPECT_EQ(StatusOf(Issue(KeyHeader("bk1.faulty"))), 400);
  EXPECT_EQ(StatusOf(Issue(KeyHeader("a b"))), 400);
  EXPECT_EQ(StatusOf(Issue(kKey + kKey)), 400);
  EXPECT_EQ(ReasonOf(Issue(KeyHeader("bk1.host-1.00000000000000aa.5.one"))),
            "key-not-issued");
  EXPECT_TRUE(target_.Requests().empty());
  EXPECT_EQ(StatusOf(Issue(kKey, "bag 1")), 201);
  EXPECT_EQ(StatusOf(Issue(kKey, "bag 2")), 422);
}

// Guards against a sealed owner that runs a key next to its successor.
TEST_F(KeyedRequestTest, RunsNothingAfterTheSeal) {
  EXPECT_EQ(StatusOf(Issue(kKey)), 201);
  fixture_.keys.SealAndExport();
  EXPECT_EQ(StatusOf(Issue(kKey)), 201);
  const std::string response =
      Issue(KeyHeader(std::string(kTestKeyPrefix) + "two"));
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "unknown");
  EXPECT_EQ(ReasonOf(response), "key-sealed");
  EXPECT_EQ(target_.Requests().size(), 1U);
}

// Guards against a key of another host that runs here.
TEST_F(KeyedRequestTest, NeverRunsKeysOfOthers) {
  EXPECT_EQ(ReasonOf(Issue(kKeyOfOther)), "key-owner-gone");
  host_record owner;
  owner.id = "host-2";
  owner.incarnation = "00000000000000bb";
  owner.caller_address = {"127.0.0.1", ClosedPort()};
  fixture_.directory.AddOwner(owner.incarnation, owner);
  const std::string unreachable = Issue(kKeyOfOther);
  EXPECT_EQ(StatusOf(unreachable), 502);
  EXPECT_EQ(HeaderOf(unreachable, "X-Outcome"), "unknown");
  EXPECT_EQ(ReasonOf(unreachable), "key-owner-unreachable");
  EXPECT_EQ(ReasonOf(Issue(kKeyOfOther + "X-Forwarded-For-Key: 1\r\n")),
            "key-forwarded-twice");
  EXPECT_TRUE(target_.Requests().empty());
}

// Guards against a retry through another host that does not reach the owner, or
// that forgets what the owner said.
TEST_F(KeyedRequestTest, ForwardsToTheOwner) {
  proxy_fixture other({ClosedPort()});
  host_record owner;
  owner.id = "host-1";
  owner.incarnation = "00000000000000aa";
  owner.caller_address = {"127.0.0.1", fixture_.proxy->port()};
  // The other host runs as a different incarnation.
  fake_directory directory([] {
    host_record self;
    self.id = "host-9";
    self.incarnation = "0000000000000099";
    return self;
  }());
  directory.AddOwner(owner.incarnation, owner);
  key_owner keys(other.system, idempotency_limits{}, "0000000000000099");
  proxy_options options;
  options.host_id = "host-9";
  proxy_service entry(
      options,
      {other.snapshot, other.targets, directory, keys, other.claims, other.time,
       other.metrics,
       [](std::string_view, const query_parameters&) -> result<nlohmann::json> {
         return nlohmann::json();
       }});
  ASSERT_TRUE(IsOk(entry.Start()));
  for (int round = 0; round < 2; ++round) {
    raw_connection caller = raw_connection::To(entry.port());
    caller.Send("POST /issue HTTP/1.1\r\nHost: a\r\n" + kKey +
                "Content-Length: 3\r\n\r\nbag");
    const std::string response = caller.ReceiveMessage();
    EXPECT_EQ(StatusOf(response), 201);
    EXPECT_TRUE(response.ends_with("paper"));
    EXPECT_EQ(HeaderOf(response, "X-Outcome"), "answered");
    EXPECT_EQ(HeaderOf(response, "X-Served-By"), "host-1");
  }
  EXPECT_EQ(StatusOf(Issue(kKey)), 201);
  EXPECT_EQ(target_.Requests().size(), 1U);
  EXPECT_EQ(HeaderOf(target_.Requests()[0], "X-Forwarded-For-Key"), "");
}

// Guards against a foreign key that runs without a binding, or twice.
TEST_F(KeyedRequestTest, BindsForeignKeysBeforeTheyRun) {
  fixture_.store.is_unavailable = true;
  const std::string refused = Issue(KeyHeader("order-7"));
  EXPECT_EQ(HeaderOf(refused, "X-Outcome"), "unknown");
  EXPECT_EQ(ReasonOf(refused), "key-claim-unavailable");
  EXPECT_TRUE(target_.Requests().empty());
  fixture_.store.is_unavailable = false;
  EXPECT_EQ(StatusOf(Issue(KeyHeader("order-7"))), 201);
  EXPECT_EQ(StatusOf(Issue(KeyHeader("order-7"))), 201);
  EXPECT_EQ(target_.Requests().size(), 1U);
  EXPECT_EQ(fixture_.store.writes, 1);
}

// Guards against a caller that is told "not run" about a key that ran, because
// the store that knows its owner is away when the caller asks again.
TEST_F(KeyedRequestTest, NeverCallsAForeignKeyNotRunWithoutItsBinding) {
  EXPECT_EQ(StatusOf(Issue(KeyHeader("order-8"))), 201);
  fixture_.store.is_unavailable = true;
  EXPECT_EQ(HeaderOf(Issue(KeyHeader("order-8")), "X-Outcome"), "unknown");
  EXPECT_EQ(target_.Requests().size(), 1U);
}

// Guards against a caller's deadline that does not bound the wait for another
// attempt with its key.
TEST_F(KeyedRequestTest, EndsTheWaitAtTheDeadline) {
  const idempotency_key key = {"host-1", std::string(kTestIncarnation), 0,
                               "held"};
  const std::string header = KeyHeader(FormatIdempotencyKey(key));
  std::optional<std::string> response;
  scripted_target silent({[&](raw_connection& connection) {
    connection.ReceiveMessage();
    response = HeaderOf(fixture_.Post("/issue", "bag",
                                      header + "X-Request-Deadline-Ms: 30\r\n"),
                        "X-Outcome-Reason");
    connection.Send(PlainResponse(201, "late"));
  }});
  const proxy_options options;
  fake_dispatcher dispatcher(proxy_fixture::MakeTargets({silent.port()}));
  proxy_service slow(options, {fixture_.snapshot,
                               dispatcher,
                               fixture_.directory,
                               fixture_.keys,
                               fixture_.claims,
                               fixture_.time,
                               fixture_.metrics,
                               {}});
  ASSERT_TRUE(IsOk(slow.Start()));
  raw_connection caller = raw_connection::To(slow.port());
  caller.Send("POST /issue HTTP/1.1\r\nHost: a\r\n" + header +
              "Content-Length: 3\r\n\r\nbag");
  EXPECT_EQ(StatusOf(caller.ReceiveMessage()), 201);
  EXPECT_EQ(response, "key-wait-timeout");
}

}  // namespace
}  // namespace bulrushshore

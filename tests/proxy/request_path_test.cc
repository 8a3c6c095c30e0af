#include <gtest/gtest.h>

#include "tests/proxy/proxy_fixture.h"

namespace bulrushshore {
namespace {

// Guards against a response that does not reach its caller whole.
TEST(RequestPathTest, RelaysTheResponseOfTheTarget) {
  scripted_target* self = nullptr;
  scripted_target target({[&self](raw_connection& connection) {
    self->Answer(PlainResponse(200, "found", "X-Load: 3\r\nETag: e\r\n"))(
        connection);
  }});
  self = &target;
  proxy_fixture fixture({target.port()});
  const std::string response = fixture.Get("/lookup/7?x=1");
  EXPECT_EQ(StatusOf(response), 200);
  EXPECT_TRUE(response.ends_with("\r\n\r\nfound"));
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "answered");
  EXPECT_EQ(HeaderOf(response, "X-Served-By"), "host-1");
  EXPECT_EQ(HeaderOf(response, "ETag"), "e");
  EXPECT_EQ(HeaderOf(response, "X-Load"), "");
  ASSERT_EQ(target.Requests().size(), 1U);
  EXPECT_TRUE(target.Requests()[0].starts_with("GET /lookup/7?x=1 HTTP/1.1"));
  EXPECT_NE(HeaderOf(target.Requests()[0], "X-Request-Deadline-Ms"), "");
  ASSERT_EQ(fixture.targets.Reports().size(), 1U);
  EXPECT_EQ(fixture.targets.Reports()[0].reported_load, 3U);
  EXPECT_TRUE(fixture.targets.IsBalanced());
}

// Guards against a certificate that is issued again when its caller asks again.
TEST(RequestPathTest, AnswersAKeyAgainWithoutRunningIt) {
  scripted_target* self = nullptr;
  scripted_target target({[&self](raw_connection& connection) {
    self->Answer(PlainResponse(201, "paper 1"))(connection);
  }});
  self = &target;
  proxy_fixture fixture({target.port()});
  const std::string key =
      "Idempotency-Key: " + std::string(kTestKeyPrefix) + "one\r\n";
  const std::string first = fixture.Post("/issue", "bag 1", key);
  const std::string second = fixture.Post("/issue", "bag 1", key);
  EXPECT_EQ(StatusOf(first), 201);
  EXPECT_EQ(StatusOf(second), 201);
  EXPECT_TRUE(second.ends_with("paper 1"));
  EXPECT_EQ(target.Requests().size(), 1U);
}

// Guards against a host that has just started and says that a route does not
// exist, which callers do not ask again.
TEST(RequestPathTest, DoesNotDenyARouteBeforeItHasAConfiguration) {
  const proxy_fixture fixture({}, {}, fixed_snapshot({}, 0));
  const std::string response = fixture.Get("/lookup/7");
  EXPECT_EQ(StatusOf(response), 503);
  EXPECT_EQ(HeaderOf(response, "X-Outcome"), "not-run");
  const std::string keyed = fixture.Post(
      "/issue", "bag 1",
      "Idempotency-Key: " + std::string(kTestKeyPrefix) + "one\r\n");
  EXPECT_EQ(StatusOf(keyed), 502);
  EXPECT_EQ(HeaderOf(keyed, "X-Outcome"), "unknown");
}

// Guards against evidence about a request, and against a stored response, that
// is applied to the same path of another host name: the routes may lead to
// different work, so one request would be cleared or answered by the other.
TEST(RequestPathTest, RequestsOfTwoHostNamesAreNotTheSame) {
  scripted_target* self = nullptr;
  const scripted_target::script answer = [&self](raw_connection& connection) {
    self->Answer(PlainResponse(200, "found"))(connection);
  };
  scripted_target target({answer, answer, answer});
  self = &target;
  catalog_contents contents = proxy_fixture::MakeCatalog();
  for (const std::string& host_name : std::vector<std::string>{"a", "b"}) {
    route added = contents.routes["lookup"];
    added.name = "lookup-" + host_name;
    added.host_name = host_name;
    contents.routes[added.name] = added;
  }
  proxy_fixture fixture({target.port()}, {}, fixed_snapshot(contents));
  for (const std::string& host_header :
       std::vector<std::string>{"a", "b", "A:80"}) {
    const std::string response = fixture.Ask(
        "GET /lookup/7 HTTP/1.1\r\nHost: " + host_header + "\r\n\r\n");
    EXPECT_EQ(StatusOf(response), 200);
  }
  const std::vector<acquire_request> requests = fixture.targets.Requests();
  ASSERT_EQ(requests.size(), 3U);
  EXPECT_NE(requests[0].fingerprint, requests[1].fingerprint);
  EXPECT_EQ(requests[0].fingerprint, requests[2].fingerprint);
}

}  // namespace
}  // namespace bulrushshore

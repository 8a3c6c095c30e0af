#include "libraries/caller/discovery_cache.h"

#include <gtest/gtest.h>

#include "tests/caller/fake_transport.h"

namespace bulrushshore {
namespace {

constexpr std::uint16_t kEntryPort = 900;
constexpr std::uint16_t kHostPort = 1001;

transport_result ListWith(const std::string& address) {
  return transport_response{
      200,
      {},
      R"({"service":"s","catalog_version":3,"ttl_ms":5000,"hosts":[{"id":"h1",)"
      R"("address":")" +
          address + R"(","zone":"a","key_prefix":"bk1.h1.aa.0"}]})"};
}

class DiscoveryCacheTest : public testing::Test {
 protected:
  manual_clock clock_;
  fake_transport transport_;
  discovery_cache cache_{{Address(kEntryPort)}, "a", transport_, clock_};
};

// Guards against a question to the hosts for each request, and against a list
// that outlives its time to live.
TEST_F(DiscoveryCacheTest, AsksAgainOnlyWhenTheListIsStale) {
  transport_.Script(kEntryPort, ListWith("127.0.0.1:1001"));
  transport_.Script(kHostPort, ListWith("127.0.0.1:1002"));
  ASSERT_TRUE(IsOk(cache_.Resolve("s")));
  clock_.Advance(std::chrono::milliseconds(4999));
  const result<shared_host_list> cached = cache_.Resolve("s");
  EXPECT_EQ(ValueOf(cached)->hosts.at(0).address, Address(kHostPort));
  EXPECT_EQ(transport_.sent().size(), 1U);
  clock_.Advance(std::chrono::milliseconds(1));
  const result<shared_host_list> renewed = cache_.Resolve("s");
  EXPECT_EQ(ValueOf(renewed)->hosts.at(0).address, Address(1002));
  EXPECT_EQ(transport_.sent().back().request.path,
            "/_bulrush/hosts?service=s&zone=a");
}

// Guards against an outage of discovery that stops requests to live hosts.
TEST_F(DiscoveryCacheTest, KeepsTheOldListWhileNobodyAnswers) {
  transport_.Script(kEntryPort, ListWith("127.0.0.1:1001"));
  transport_.Script(kEntryPort, transport_failure::kConnectFailed);
  ASSERT_TRUE(IsOk(cache_.Resolve("s")));
  clock_.Advance(std::chrono::minutes(10));
  EXPECT_TRUE(IsOk(cache_.Resolve("s")));
}

// Guards against a malformed response that is taken for a list.
TEST_F(DiscoveryCacheTest, RejectsMalformedResponses) {
  for (const char* body :
       {"", "{}", "[]", R"({"ttl_ms":1,"hosts":[]})",
        R"({"ttl_ms":"1","hosts":[{"address":"127.0.0.1:1"}]})",
        R"({"ttl_ms":1,"hosts":[{"address":"localhost"}]})",
        R"({"ttl_ms":1,"hosts":[1]})"}) {
    fake_transport transport;
    transport.Script(kEntryPort, transport_response{200, {}, body});
    discovery_cache cache({Address(kEntryPort)}, "", transport, clock_);
    EXPECT_FALSE(IsOk(cache.Resolve("s"))) << body;
  }
}

}  // namespace
}  // namespace bulrushshore

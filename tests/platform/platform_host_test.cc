#include "platform/platform_host.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "platform/endpoints.h"
#include "platform/host_decoder.h"
#include "platform/names.h"
#include "stand_ins/platform_store/platform_store.h"
#include "tests/platform/odd_values.h"

namespace bulrushshore {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

std::vector<endpoint> FreeAddresses(boost::asio::io_context& loop,
                                    std::size_t count) {
  std::vector<boost::asio::ip::tcp::acceptor> probes;
  std::vector<endpoint> addresses;
  for (std::size_t index = 0; index < count; ++index) {
    probes.emplace_back(loop,
                        boost::asio::ip::tcp::endpoint(
                            boost::asio::ip::make_address("127.0.0.1"), 0));
    addresses.push_back({"127.0.0.1", probes.back().local_endpoint().port()});
  }
  return addresses;
}

endpoint FreeAddress(boost::asio::io_context& loop) {
  return FreeAddresses(loop, 1)[0];
}

json MakeTargetSpec(const json& zone) {
  return {{"service", "s"},
          {"address", "127.0.0.1:9"},
          {"zone", zone},
          {"version", "1"},
          {"slots", 2},
          {"state", "ready"},
          {"warmup-left-ms", 0},
          {"seq", 1},
          {"born", 1}};
}

// Runs a host and a stand-in for the store on one event loop.
class PlatformHostTest : public testing::Test {
 protected:
  PlatformHostTest() {
    process_settings settings;
    settings.host_id = "front-1";
    settings.zone = "z-a";
    settings.region = "z";
    // All are taken at once, so that no two are the same.
    const std::vector<endpoint> free = FreeAddresses(loop_, 5);
    settings.caller_address = free[0];
    settings.readiness_address = free[1];
    settings.discovery_address = free[2];
    settings.metrics_address = free[3];
    settings.peer_address = free[4];
    settings.store_address = store_.address();
    settings.stop_grace = std::chrono::seconds(6);
    settings_ = settings;
  }

  void Start() {
    host_ = std::make_unique<platform_host>(loop_, settings_);
    const status started = host_->Start();
    ASSERT_TRUE(IsOk(started)) << ErrorOf(started).message;
  }

  void PutConfiguration() {
    store_.Put(platform_names::kConfigurationKind,
               platform_names::kConfigurationName,
               json::parse(R"({"version":"00000001","routes":{"r":{"host":"h",
          "path-prefix":"/r/","kind":"safe","timeout-ms":1000,
          "service":"s"}}})"));
  }

  void RunUntil(const std::function<bool()>& condition) {
    const time_point end =
        std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop_.run_for(milliseconds(5));
    }
    EXPECT_TRUE(condition());
  }

  boost::asio::io_context loop_{1};
  platform_store_stand_in store_{loop_};
  process_settings settings_;
  std::unique_ptr<platform_host> host_;
};

TEST_F(PlatformHostTest, IsReadyOnceItHasAConfiguration) {
  Start();
  RunUntil([this] { return store_.Has("bulrush-hosts", "front-1"); });
  EXPECT_EQ(HandleReadiness(host_->daemon(), {"GET", "/ready", {}, ""}).status,
            503);
  PutConfiguration();
  RunUntil([this] { return host_->daemon().IsReady(); });
  EXPECT_EQ(HandleReadiness(host_->daemon(), {"GET", "/ready", {}, ""}).status,
            200);
}

// Guards against a host that considers itself the leader of its zone until it
// knows the other hosts: at each start of a fleet of 196 hosts, this cost four
// full-price calls per host.
TEST_F(PlatformHostTest, UsesCheapReadsUntilItKnowsTheOtherHosts) {
  settings_.is_fleet_start = true;
  PutConfiguration();
  Start();
  RunUntil([this] { return store_.calls("list") >= 2; });
  loop_.run_for(milliseconds(300));
  EXPECT_GE(store_.calls("list"), 2);
  EXPECT_EQ(store_.calls("current"), 0);
  RunUntil([this] { return store_.calls("current") > 0; });
}

// Guards against a restarted host that uses a target which has left: the list
// that it read first was seconds old, and it looked for changes only 1.5 s
// later. The same holds for rules that were withdrawn.
TEST_F(PlatformHostTest, RestartedHostDoesNotUseATargetThatHasLeft) {
  const json target = MakeTargetSpec("z-a");
  store_.Put(platform_names::kTargetKind, "t1", target);
  PutConfiguration();
  store_.FreezeStaleReads();
  store_.Remove(platform_names::kTargetKind, "t1");
  Start();
  RunUntil([this] { return host_->daemon().IsReady(); });
  EXPECT_EQ(host_->daemon().usable_target_count(), 0U);
  store_.Put(platform_names::kTargetKind, "t2", target);
  RunUntil([this] { return host_->daemon().usable_target_count() == 1; });
}

// Guards against a restarted host that returns only its own address. After all
// hosts had been killed, each knew only itself for 1.2 s, so callers were
// spread over 122 hosts and reached failing targets, because most of these
// hosts had not been notified of any failure.
TEST_F(PlatformHostTest, RestartedHostReturnsTheServingHostsAtOnce) {
  constexpr std::size_t kServing = 2;
  for (int number = 2; number <= 9; ++number) {
    const std::string id = "front-" + std::to_string(number);
    const host_entry host{id,
                          "z-a",
                          {"127.0.0.1", static_cast<std::uint16_t>(number)},
                          FreeAddress(loop_)};
    store_.Put(platform_names::kHostKind, id, EncodeHost(host)["spec"]);
  }
  PutConfiguration();
  Start();
  RunUntil([this] { return host_->daemon().IsReady(); });
  EXPECT_EQ(host_->daemon().AddressesFor("z-a").size(), kServing);
}

// Guards against sending callers to a host that can only refuse their requests.
TEST_F(PlatformHostTest, DiscoveryFailsWhileNoHostIsReady) {
  store_.SetOutage(true);
  PutConfiguration();
  Start();
  loop_.run_for(milliseconds(300));
  const proxy_request request{
      "GET", "/resolve?name=h&region=z&zone=z-a", {}, ""};
  EXPECT_EQ(
      HandleDiscovery(host_->daemon(), std::chrono::seconds(2), request).status,
      503);
  store_.SetOutage(false);
  RunUntil([this] { return host_->daemon().IsReady(); });
  EXPECT_EQ(
      HandleDiscovery(host_->daemon(), std::chrono::seconds(2), request).status,
      200);
}

TEST_F(PlatformHostTest, DiscoveryReturnsTheCallerAddress) {
  PutConfiguration();
  Start();
  RunUntil([this] { return host_->daemon().IsReady(); });
  const proxy_response response =
      HandleDiscovery(host_->daemon(), std::chrono::seconds(2),
                      {"GET", "/resolve?name=h&region=z&zone=z-a", {}, ""});
  const json body = json::parse(response.body);
  EXPECT_EQ(body["addresses"],
            json::array({FormatEndpoint(settings_.caller_address)}));
  EXPECT_EQ(body["ttl-s"], 2);
}

TEST_F(PlatformHostTest, RegistersAgainWhenItsAddressChanged) {
  store_.Put("bulrush-hosts", "front-1", json{{"zone", "old"}});
  Start();
  RunUntil([this] { return store_.calls("write") >= 2; });
}

class OddObjectTest : public PlatformHostTest,
                      public testing::WithParamInterface<odd_value> {};

// Guards against one object of another writer that ends every process of the
// fleet, or leaves no host ready after a restart.
TEST_P(OddObjectTest, CostsNothingButItselfInAList) {
  store_.SetRawText("@odd@", GetParam().text);
  store_.Put(platform_names::kTargetKind, "t0", MakeTargetSpec("@odd@"));
  store_.Put(platform_names::kTargetKind, "t1", MakeTargetSpec("z-a"));
  store_.Put(platform_names::kHostKind, "front-0", {{"zone", "@odd@"}});
  store_.Put(platform_names::kHostKind, "front-1", {{"zone", "@odd@"}});
  store_.Put(platform_names::kConfigurationKind, "other", {{"x", "@odd@"}});
  PutConfiguration();
  Start();
  RunUntil([this] { return host_->daemon().IsReady(); });
  EXPECT_EQ(host_->daemon().usable_target_count(), 1U);
  // Its own entry is replaced.
  RunUntil([this] { return store_.calls("write") >= 2; });
}

TEST_P(OddObjectTest, CostsNothingButItselfInAWatch) {
  PutConfiguration();
  store_.Put(platform_names::kTargetKind, "t1", MakeTargetSpec("z-a"));
  Start();
  RunUntil([this] { return host_->daemon().usable_target_count() == 1; });
  store_.SetRawText("@odd@", GetParam().text);
  store_.Put(platform_names::kTargetKind, "t0", MakeTargetSpec("@odd@"));
  store_.Remove(platform_names::kTargetKind, "t0");
  store_.Put(platform_names::kConfigurationKind, "other", {{"x", "@odd@"}});
  store_.Put(platform_names::kTargetKind, "t2", MakeTargetSpec("z-a"));
  RunUntil([this] { return host_->daemon().usable_target_count() == 2; });
  EXPECT_TRUE(host_->daemon().IsReady());
}

INSTANTIATE_TEST_SUITE_P(Values, OddObjectTest, testing::ValuesIn(OddValues()));

TEST_F(PlatformHostTest, RegistersWhenTheStoreIsAvailableAgain) {
  store_.SetOutage(true);
  Start();
  loop_.run_for(milliseconds(200));
  store_.SetOutage(false);
  RunUntil([this] { return store_.Has("bulrush-hosts", "front-1"); });
}

TEST_F(PlatformHostTest, DeregistersAndStopsWithinTheGracePeriod) {
  PutConfiguration();
  Start();
  RunUntil([this] { return host_->daemon().IsReady(); });
  host_->Leave();
  EXPECT_FALSE(host_->daemon().IsReady());
  const time_point leave_start = std::chrono::steady_clock::now();
  loop_.run_for(std::chrono::seconds(10));
  EXPECT_TRUE(loop_.stopped());
  EXPECT_LT(std::chrono::steady_clock::now() - leave_start,
            std::chrono::seconds(6));
  EXPECT_FALSE(store_.Has("bulrush-hosts", "front-1"));
}

}  // namespace
}  // namespace bulrushshore

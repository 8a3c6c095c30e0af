#include "libraries/membership/discovery_response.h"

#include <map>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "tests/membership/fleet_fixture.h"

namespace bulrushshore {
namespace {

class DiscoveryResponseTest : public testing::Test {
 protected:
  static constexpr std::uint64_t kVersion = 17;

  void SetUp() override {
    for (std::size_t index = 0; index < 12; ++index) {
      hosts_.push_back(Configured(index));
    }
    catalog_.version = kVersion;
    catalog_.contents.services["archive"].name = "archive";
  }

  static host_record Configured(std::size_t index) {
    host_record host = TestRecord(index, index + 1);
    host.catalog_version = kVersion;
    return host;
  }

  nlohmann::json Ask(const std::string& zone,
                     const std::string& caller = "10.0.0.1:5") {
    const result<std::string> response =
        DiscoveryResponse({"archive", zone, caller}, hosts_, catalog_, {});
    EXPECT_TRUE(IsOk(response));
    return nlohmann::json::parse(ValueOf(response));
  }

  std::vector<host_record> hosts_;
  catalog_snapshot catalog_;
};

// Guards against a change of the documented form.
TEST_F(DiscoveryResponseTest, HasTheDocumentedFields) {
  const nlohmann::json response = Ask("a");
  EXPECT_EQ(response["service"], "archive");
  EXPECT_EQ(response["catalog_version"], 17);
  EXPECT_EQ(response["ttl_ms"], 5000);
  ASSERT_EQ(response["hosts"].size(), 6U);
  const nlohmann::json& first = response["hosts"][0];
  EXPECT_EQ(first["zone"], "a");
  EXPECT_EQ(response["hosts"][1]["zone"], "a");
  EXPECT_NE(response["hosts"][2]["zone"], "a");
  const std::string id = first["id"];
  for (const host_record& host : hosts_) {
    if (host.id == id) {
      EXPECT_EQ(first["address"], FormatEndpoint(host.caller_address));
      EXPECT_EQ(first["key_prefix"],
                "bk1." + id + "." + host.incarnation + ".0");
    }
  }
}

// Guards against callers that are sent to hosts which are going or gone.
TEST_F(DiscoveryResponseTest, OnlyUsableHostsAreListed) {
  hosts_[0].state = host_state::kLeaving;
  hosts_[1].state = host_state::kSuspected;
  hosts_[2].state = host_state::kLost;
  hosts_[3].is_self_suspect = true;
  const nlohmann::json listed = Ask("a")["hosts"];
  ASSERT_EQ(listed.size(), 6U);
  for (const nlohmann::json& host : listed) {
    for (std::size_t index = 0; index < 4; ++index) {
      EXPECT_NE(host["id"], hosts_[index].id);
    }
  }
}

// Guards against payments that end unknown: seen in in_force_test, where a host
// that had just started without the store was named to a caller, gave the key
// for its payment and could not run it.
TEST_F(DiscoveryResponseTest, AHostWithoutAConfigurationGetsNoCallers) {
  hosts_[0].catalog_version = 0;
  for (const char* zone : {"a", "b", "c"}) {
    const nlohmann::json listed = Ask(zone)["hosts"];
    ASSERT_FALSE(listed.empty());
    for (const nlohmann::json& host : listed) {
      EXPECT_NE(host["id"], hosts_[0].id);
    }
  }
  EXPECT_EQ(ErrorOf(KeyPrefixForCallers(hosts_[0])).code,
            error_code::kUnavailable);
  EXPECT_EQ(ValueOf(KeyPrefixForCallers(hosts_[1])), KeyPrefix(hosts_[1]));
}

// Guards against an empty answer when a fault makes every host suspect itself.
TEST_F(DiscoveryResponseTest, HostsThatAllSuspectThemselvesStayListed) {
  for (host_record& host : hosts_) {
    host.is_self_suspect = true;
  }
  EXPECT_EQ(Ask("a")["hosts"].size(), 6U);
}

// Guards against callers that gather on one host after a loss.
TEST_F(DiscoveryResponseTest, CallersOfALostHostSpread) {
  hosts_.clear();
  for (std::size_t index = 0; index < 24; ++index) {
    hosts_.push_back(Configured(index));
  }
  catalog_.contents.targets["archive/one"].slots = 192;
  const std::string lost = Ask("a")["hosts"][0]["id"];
  std::map<std::string, int> successors;
  for (int number = 0; number < 200; ++number) {
    const std::string caller = "10.0.0.1:" + std::to_string(number);
    const nlohmann::json before = Ask("a", caller)["hosts"];
    if (before[0]["id"] == lost) {
      ++successors[before[1]["id"].get<std::string>()];
    }
  }
  EXPECT_EQ(successors.size(), 3U);
}

// Guards against an answer for a service that a note withdrew.
TEST_F(DiscoveryResponseTest, UnknownServiceIsNotFound) {
  EXPECT_EQ(
      ErrorOf(DiscoveryResponse({"other", "a", ""}, hosts_, catalog_, {})).code,
      error_code::kNotFound);
}

// Guards against a host that has just started and denies all services.
TEST_F(DiscoveryResponseTest, AHostWithoutAConfigurationDeniesNoService) {
  const catalog_snapshot none;
  EXPECT_EQ(
      ErrorOf(DiscoveryResponse({"archive", "a", ""}, hosts_, none, {})).code,
      error_code::kUnavailable);
}

}  // namespace
}  // namespace bulrushshore

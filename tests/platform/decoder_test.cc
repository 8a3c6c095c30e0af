#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "platform/configuration_decoder.h"
#include "platform/host_decoder.h"
#include "platform/target_decoder.h"

namespace bulrushshore {
namespace {

using json = nlohmann::json;

json MakeConfiguration() {
  return json::parse(R"({"metadata":{"name":"main"},"spec":{
    "version":"0000000c",
    "routes":{
      "r-1":{"host":"a.example","path-prefix":"/x/","kind":"unsafe",
             "timeout-ms":6000,"target-latency-ms":2000,"priority":1,
             "service":"s1","max-attempts":2},
      "r-2":{"host":"a.example","path-prefix":"/y/","kind":"safe",
             "timeout-ms":5000,"target-latency-ms":800,"priority":2,
             "backends":[{"service":"s1","weight":90},
                         {"service":"s2","weight":10},
                         {"service":"s3","weight":0}],"max-attempts":3}},
    "services":{"s1":{"health-path":"/health","max-connections":440}},
    "limits":{"max-header-bytes":1000,"max-body-bytes":2000,
              "header-timeout-ms":3000,"idle-timeout-ms":15000}}})");
}

TEST(ConfigurationDecoderTest, DecodesRoutesServicesAndLimits) {
  const result<rule_set> decoded = DecodeConfiguration(MakeConfiguration());
  ASSERT_TRUE(IsOk(decoded));
  const rule_set& rules = ValueOf(decoded);
  EXPECT_EQ(rules.version, 12U);
  const route_rule& single = rules.routes.at("r-1");
  EXPECT_FALSE(single.is_idempotent);
  EXPECT_EQ(single.timeout, std::chrono::milliseconds(6000));
  EXPECT_EQ(single.services.size(), 1U);
  const route_rule& split = rules.routes.at("r-2");
  EXPECT_TRUE(split.is_idempotent);
  EXPECT_EQ(split.max_attempts, 3U);
  // A backend with weight 0 gets no requests.
  EXPECT_EQ(split.services.size(), 2U);
  EXPECT_EQ(rules.services.at("s1").max_connections, 440U);
  EXPECT_EQ(rules.limits.max_body_bytes, 2000U);
}

// Guards against repeating requests of an unknown kind, which may not be
// idempotent.
TEST(ConfigurationDecoderTest, OnlySafeRequestsAreIdempotent) {
  json object = MakeConfiguration();
  object["spec"]["routes"]["r-2"]["kind"] = "keyed";
  EXPECT_FALSE(
      ValueOf(DecodeConfiguration(object)).routes.at("r-2").is_idempotent);
}

TEST(ConfigurationDecoderTest, RejectsInvalidRoutesAndVersions) {
  const std::vector<std::pair<std::string, json>> invalid_fields = {
      {"path-prefix", "/x"}, {"host", 5}, {"kind", nullptr}, {"service", 1}};
  for (const std::pair<std::string, json>& field : invalid_fields) {
    json object = MakeConfiguration();
    object["spec"]["routes"]["r-1"][field.first] = field.second;
    EXPECT_FALSE(IsOk(DecodeConfiguration(object))) << field.first;
  }
  EXPECT_FALSE(IsOk(DecodeConfiguration(json::object())));
  json invalid_version = MakeConfiguration();
  invalid_version["spec"]["version"] = "xyz";
  EXPECT_FALSE(IsOk(DecodeConfiguration(invalid_version)));
}

json MakeTarget() {
  return json::parse(R"({"metadata":{"name":"i-7f"},"spec":{
    "service":"s1","address":"10.128.0.9:8080","zone":"z-a","version":"v1",
    "slots":6,"state":"ready","warmup-left-ms":0,"seq":4,
    "born":1790000000000}})");
}

// Guards against numbers whose conversion or sum overflows: a duration that is
// added to the time of arrival, weights that are added up.
TEST(ConfigurationDecoderTest, BoundsNumbersThatAreOutOfRange) {
  json object = MakeConfiguration();
  object["spec"]["routes"]["r-1"]["timeout-ms"] = 1e300;
  object["spec"]["routes"]["r-1"]["max-attempts"] = 18446744073709551615U;
  object["spec"]["limits"]["idle-timeout-ms"] = 9e18;
  const result<rule_set> decoded = DecodeConfiguration(object);
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).routes.at("r-1").timeout, std::chrono::hours(24));
  EXPECT_EQ(ValueOf(decoded).routes.at("r-1").max_attempts, 1U);
  EXPECT_EQ(ValueOf(decoded).limits.idle_timeout, std::chrono::hours(24));
  object["spec"]["routes"]["r-2"]["backends"][0]["weight"] = 1e308;
  EXPECT_FALSE(IsOk(DecodeConfiguration(object)));
}

// Guards against entries of other writers whose texts end up in a header or a
// datagram, and whose numbers overflow.
TEST(TargetDecoderTest, RefusesTextsAndNumbersThatAreOutOfRange) {
  const std::vector<std::pair<std::string, json>> invalid_fields = {
      {"service", std::string(300, 's')},
      {"service", "s\r\nX-Injected: 1"},
      {"zone", ""},
      {"zone", "z a"},
      {"warmup-left-ms", 9'000'000'000'000'000'000},
      {"warmup-left-ms", 18446744073709551615U},
      {"seq", 1e300}};
  for (const std::pair<std::string, json>& field : invalid_fields) {
    json object = MakeTarget();
    object["spec"][field.first] = field.second;
    EXPECT_FALSE(IsOk(DecodeTarget(object))) << field.first << field.second;
  }
  json object = MakeTarget();
  object["metadata"]["name"] = "a\nb";
  EXPECT_FALSE(IsOk(DecodeTarget(object)));
}

TEST(TargetDecoderTest, DecodesAnEntry) {
  const result<target_entry> decoded = DecodeTarget(MakeTarget());
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).id, "i-7f");
  EXPECT_EQ(ValueOf(decoded).address, (endpoint{"10.128.0.9", 8080}));
  EXPECT_EQ(ValueOf(decoded).started_at_unix_ms, 1790000000000);
  EXPECT_FALSE(ValueOf(decoded).is_draining);
}

TEST(TargetDecoderTest, AcceptsIntegersInFloatingPointNotation) {
  json object = MakeTarget();
  object["spec"]["born"] = 1.79e12;
  EXPECT_EQ(ValueOf(DecodeTarget(object)).started_at_unix_ms, 1790000000000);
}

// Other writers may store entries too. Guards against using an entry with an
// invalid field as a target.
TEST(TargetDecoderTest, RejectsInvalidEntries) {
  const std::vector<std::pair<std::string, json>> invalid_fields = {
      {"service", 1},         {"service", ""},   {"address", "nowhere"},
      {"address", 80},        {"zone", nullptr}, {"slots", 0},
      {"slots", "6"},         {"slots", 1.5},    {"state", "new"},
      {"warmup-left-ms", -1}, {"seq", "1"},      {"slots", 1e30}};
  for (const std::pair<std::string, json>& field : invalid_fields) {
    json object = MakeTarget();
    object["spec"][field.first] = field.second;
    EXPECT_FALSE(IsOk(DecodeTarget(object)))
        << field.first << " " << field.second;
  }
  for (const json& object : {json(), json::array(), json("text"),
                             json{{"metadata", {{"name", "x"}}}}}) {
    EXPECT_FALSE(IsOk(DecodeTarget(object)));
  }
}

TEST(HostDecoderTest, DecodesAnEncodedHost) {
  const host_entry host{"h", "z", {"10.0.0.1", 80}, {"10.0.0.1", 7}};
  const result<host_entry> decoded = DecodeHost(EncodeHost(host));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded), host);
  EXPECT_FALSE(IsOk(DecodeHost(json::object())));
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/http/request_fingerprint.h"

#include <set>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr request_identity kRequest{.method = "POST",
                                    .target = "/pay/x?a=1",
                                    .body = "body",
                                    .host_name = "h.example",
                                    .service = "s"};

// Guards against evidence about one request that is applied to another one: the
// responses to the same path of another host name cleared a request that
// crashed its targets.
TEST(RequestFingerprintTest, EachPartOfTheIdentityCounts) {
  std::set<std::uint64_t> fingerprints{FingerprintOf(kRequest)};
  request_identity other = kRequest;
  other.method = "PUT";
  EXPECT_TRUE(fingerprints.insert(FingerprintOf(other)).second);
  other = kRequest;
  other.target = "/pay/x?a=2";
  EXPECT_TRUE(fingerprints.insert(FingerprintOf(other)).second);
  other = kRequest;
  other.body = "";
  EXPECT_TRUE(fingerprints.insert(FingerprintOf(other)).second);
  other = kRequest;
  other.host_name = "g.example";
  EXPECT_TRUE(fingerprints.insert(FingerprintOf(other)).second);
  other = kRequest;
  other.service = "t";
  EXPECT_TRUE(fingerprints.insert(FingerprintOf(other)).second);
}

// Guards against parts that run into each other.
TEST(RequestFingerprintTest, PartsAreSeparated) {
  request_identity host_only = kRequest;
  host_only.host_name = "s";
  host_only.service = "";
  request_identity service_only = kRequest;
  service_only.host_name = "";
  service_only.service = "s";
  EXPECT_NE(FingerprintOf(host_only), FingerprintOf(service_only));
}

// Guards against hosts of two versions that disagree about a request during an
// upgrade: a repeated idempotency key would be refused as that of another
// request.
TEST(RequestFingerprintTest, StaysTheSameBetweenVersions) {
  constexpr std::uint64_t kOfEarlierVersions = 0x14b7945a14208b06;
  EXPECT_EQ(FingerprintOf({.method = "POST",
                           .target = "/pay/x",
                           .body = "body",
                           .host_name = "",
                           .service = ""}),
            kOfEarlierVersions);
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/proxy/key_claims.h"

#include <gtest/gtest.h>

#include "tests/proxy/fakes.h"

namespace bulrushshore {
namespace {

const idempotency_key kFirst = {"host-1", "00000000000000aa", 3, ""};
const idempotency_key kSecond = {"host-2", "00000000000000bb", 5, ""};

class KeyClaimsTest : public testing::Test {
 protected:
  error_code CodeOf(const idempotency_key& candidate) {
    const result<idempotency_key> claimed = claims_.Claim("order", candidate);
    return IsOk(claimed) ? error_code::kInternal : ErrorOf(claimed).code;
  }

  scripted_store store_;
  manual_clock clock_;
  // Makes the fleet `count` hosts large, with one lost host beyond them.
  void SetFleet(std::size_t count) {
    host_record other;
    directory_.others.assign(count - 1, other);
    other.state = host_state::kLost;
    directory_.others.push_back(other);
  }

  // Claims as many new keys as the budget allows now.
  int ClaimAll() {
    int claimed = 0;
    while (IsOk(claims_.Claim("key-" + std::to_string(next_key_), kFirst))) {
      ++next_key_;
      ++claimed;
    }
    return claimed;
  }

  int next_key_ = 0;
  fake_directory directory_{host_record()};
  object_store_key_claims claims_{store_,
                                  clock_,
                                  directory_,
                                  {1.0, 10.0, std::chrono::seconds(2)}};
};

// Guards against a key that two incarnations may run.
TEST_F(KeyClaimsTest, BindsAKeyOnce) {
  const result<idempotency_key> first = claims_.Claim("order", kFirst);
  const result<idempotency_key> second = claims_.Claim("order", kSecond);
  ASSERT_TRUE(IsOk(first) && IsOk(second));
  EXPECT_EQ(ValueOf(first), ValueOf(second));
  EXPECT_EQ(ValueOf(first).incarnation, kFirst.incarnation);
  EXPECT_EQ(ValueOf(first).generation, kFirst.generation);
  clock_.Advance(std::chrono::seconds(1));
  const result<idempotency_key> other = claims_.Claim("order2", kSecond);
  EXPECT_NE(ValueOf(other).caller_part, ValueOf(first).caller_part);
  const std::string text = FormatIdempotencyKey(ValueOf(first));
  EXPECT_TRUE(IsOk(ParseIdempotencyKey(text))) << text;
}

// Guards against a run whose binding is not known to have taken effect.
TEST_F(KeyClaimsTest, ResolvesLostReplies) {
  store_.loses_write = true;
  EXPECT_EQ(CodeOf(kFirst), error_code::kUnavailable);
  clock_.Advance(std::chrono::seconds(1));
  store_.loses_write = false;
  store_.loses_reply = true;
  const result<idempotency_key> bound = claims_.Claim("order", kSecond);
  ASSERT_TRUE(IsOk(bound));
  EXPECT_EQ(ValueOf(bound).incarnation, kSecond.incarnation);
}

// Guards against more writes than the store's budget allows.
TEST_F(KeyClaimsTest, RespectsTheWriteBudget) {
  // One write is saved at the start, and at most two are later.
  EXPECT_TRUE(IsOk(claims_.Claim("z", kFirst)));
  EXPECT_EQ(CodeOf(kFirst), error_code::kResourceExhausted);
  clock_.Advance(std::chrono::seconds(10));
  EXPECT_TRUE(IsOk(claims_.Claim("a", kFirst)));
  EXPECT_TRUE(IsOk(claims_.Claim("b", kFirst)));
  EXPECT_EQ(CodeOf(kFirst), error_code::kResourceExhausted);
  EXPECT_TRUE(IsOk(claims_.Claim("a", kFirst)));
  clock_.Advance(std::chrono::seconds(1));
  EXPECT_TRUE(IsOk(claims_.Claim("order", kFirst)));
  EXPECT_EQ(store_.writes, 4);
}

// Guards against a budget that grows with the fleet: at 1.5 writes/s a host,
// 600 hosts would write 900 times a second.
TEST_F(KeyClaimsTest, HostsShareTheWriteBudget) {
  const key_claims_options options;
  for (const std::size_t hosts : {1U, 6U, 63U, 600U}) {
    const double of_fleet =
        ClaimWritesPerSecond(options, hosts) * static_cast<double>(hosts);
    EXPECT_LE(of_fleet, 100.0 + 1e-6) << hosts;
    if (hosts >= 10) {
      EXPECT_NEAR(of_fleet, 100.0, 1e-6) << hosts;
    }
  }
  SetFleet(4);
  EXPECT_EQ(ClaimAll(), 1);
  clock_.Advance(std::chrono::seconds(3));
  EXPECT_EQ(ClaimAll(), 0);
  clock_.Advance(std::chrono::seconds(1));
  EXPECT_EQ(ClaimAll(), 1);
}

// Guards against a share that stays as it was when the fleet grows or shrinks.
TEST_F(KeyClaimsTest, ShareFollowsTheFleet) {
  EXPECT_EQ(ClaimAll(), 1);
  SetFleet(100);
  clock_.Advance(std::chrono::seconds(50));
  EXPECT_EQ(ClaimAll(), 0);
  SetFleet(1);
  clock_.Advance(std::chrono::seconds(1));
  EXPECT_EQ(ClaimAll(), 1);
}

// Guards against a new host that knows nobody and takes the whole budget.
TEST_F(KeyClaimsTest, ShareOfOneHostIsBounded) {
  EXPECT_EQ(ClaimWritesPerSecond({100.0, 10.0, std::chrono::seconds(2)}, 1),
            10.0);
}

// Guards against a damaged claim that is taken for a free key.
TEST_F(KeyClaimsTest, RejectsFaultyClaims) {
  ASSERT_TRUE(IsOk(claims_.Claim("order", kFirst)));
  for (const char* const faulty :
       {"{}",
        R"({"generation":3,"host":"A.b","incarnation":"00000000000000aa"})",
        R"({"generation":3,"host":"host-a","incarnation":"00AA"})"}) {
    store_.objects.begin()->second.value = faulty;
    EXPECT_EQ(CodeOf(kSecond), error_code::kUnavailable) << faulty;
  }
}

}  // namespace
}  // namespace bulrushshore

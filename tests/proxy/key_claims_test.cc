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
  object_store_key_claims claims_{store_, clock_, {1.0, 2.0}};
};

// Guards against a key that two incarnations may run.
TEST_F(KeyClaimsTest, BindsAKeyOnce) {
  const result<idempotency_key> first = claims_.Claim("order", kFirst);
  const result<idempotency_key> second = claims_.Claim("order", kSecond);
  ASSERT_TRUE(IsOk(first) && IsOk(second));
  EXPECT_EQ(ValueOf(first), ValueOf(second));
  EXPECT_EQ(ValueOf(first).incarnation, kFirst.incarnation);
  EXPECT_EQ(ValueOf(first).generation, kFirst.generation);
  const result<idempotency_key> other = claims_.Claim("order2", kSecond);
  EXPECT_NE(ValueOf(other).caller_part, ValueOf(first).caller_part);
  const std::string text = FormatIdempotencyKey(ValueOf(first));
  EXPECT_TRUE(IsOk(ParseIdempotencyKey(text))) << text;
}

// Guards against a run whose binding is not known to have taken effect.
TEST_F(KeyClaimsTest, ResolvesLostReplies) {
  store_.loses_write = true;
  EXPECT_EQ(CodeOf(kFirst), error_code::kUnavailable);
  store_.loses_write = false;
  store_.loses_reply = true;
  const result<idempotency_key> bound = claims_.Claim("order", kSecond);
  ASSERT_TRUE(IsOk(bound));
  EXPECT_EQ(ValueOf(bound).incarnation, kSecond.incarnation);
}

// Guards against more writes than the store's budget allows.
TEST_F(KeyClaimsTest, RespectsTheWriteBudget) {
  EXPECT_TRUE(IsOk(claims_.Claim("a", kFirst)));
  EXPECT_TRUE(IsOk(claims_.Claim("b", kFirst)));
  EXPECT_EQ(CodeOf(kFirst), error_code::kResourceExhausted);
  EXPECT_TRUE(IsOk(claims_.Claim("a", kFirst)));
  clock_.Advance(std::chrono::seconds(1));
  EXPECT_TRUE(IsOk(claims_.Claim("order", kFirst)));
  EXPECT_EQ(store_.writes, 3);
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

#include "libraries/idempotency/idempotency_key.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against a key whose owner is read wrongly.
TEST(IdempotencyKeyTest, ReadsBackWhatItFormats) {
  const idempotency_key key = {"host-7", "0123456789abcdef", 12, "Order_1-a"};
  const std::string text = FormatIdempotencyKey(key);
  EXPECT_EQ(text, "bk1.host-7.0123456789abcdef.12.Order_1-a");
  const result<idempotency_key> parsed = ParseIdempotencyKey(text);
  ASSERT_TRUE(IsOk(parsed));
  EXPECT_EQ(ValueOf(parsed), key);
}

// Guards against two texts for one key, which would run it twice, and against
// a faulty own key that is taken for a foreign one.
TEST(IdempotencyKeyTest, RejectsEverythingButTheCanonicalSpelling) {
  for (const std::string_view text :
       {"bk1.h.0123456789abcdef.012.a", "bk1.h.0123456789ABCDEF.1.a",
        "bk1.h.0123456789abcde.1.a", "bk1.h.0123456789abcdef.1.",
        "bk1.h.0123456789abcdef.1", "bk1.h.0123456789abcdef.1.a.b",
        "bk1.h.0123456789abcdef.-1.a", "bk1.h.0123456789abcdef.+1.a",
        "bk1.h.0123456789abcdef.99999999999999999999.a",
        "bk1..0123456789abcdef.1.a", "bk1.H.0123456789abcdef.1.a",
        "bk1.h.0123456789abcdef.1.a b", "bk1."}) {
    EXPECT_TRUE(HasOwnKeyPrefix(text));
    EXPECT_FALSE(IsOk(ParseIdempotencyKey(text))) << text;
  }
  EXPECT_FALSE(HasOwnKeyPrefix("order-1"));
  EXPECT_TRUE(IsValidForeignKey("order-1"));
  EXPECT_FALSE(IsValidForeignKey(""));
  EXPECT_FALSE(IsValidForeignKey("order 1"));
  EXPECT_FALSE(IsValidForeignKey(std::string(kMaxKeyBytes + 1, 'a')));
}

}  // namespace
}  // namespace bulrushshore

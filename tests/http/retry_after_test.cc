#include "libraries/http/retry_after.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

TEST(RetryAfterTest, ReadsSecondsWithFractions) {
  EXPECT_EQ(ParseRetryAfter("2"), milliseconds(2000));
  EXPECT_EQ(ParseRetryAfter(" 0.25 "), milliseconds(250));
  EXPECT_EQ(ParseRetryAfter("0"), milliseconds(0));
}

// Guards against a number of seconds that overflows when it is converted.
TEST(RetryAfterTest, ReducesHugeValuesToADay) {
  EXPECT_EQ(ParseRetryAfter("99999999999999999999"), std::chrono::hours(24));
}

// Guards against taking a part of an unreadable value for a time.
TEST(RetryAfterTest, RejectsOtherValues) {
  for (const char* value : {"", " ", "-1", "-0", "nan", "inf", "1e3", "2s",
                            "0x10", "1,5", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    EXPECT_FALSE(ParseRetryAfter(value)) << value;
  }
}

}  // namespace
}  // namespace bulrushshore

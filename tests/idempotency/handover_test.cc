#include "libraries/idempotency/handover.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr std::size_t kPartBytes = 4096;

handover MakeHandover(int keys, std::size_t body_bytes) {
  handover value;
  value.incarnations.push_back({"00000000000000aa", 5, 5, {}});
  value.incarnations.push_back({"00000000000000bb", 9, 7, {}});
  for (int index = 0; index < keys; ++index) {
    value.incarnations[0].entries.push_back(
        {4, "key-" + std::to_string(index), key_state::kAnswered, 77,
         std::make_shared<const stored_response>(stored_response{
             201, {{"A", "b\xff"}}, std::string(body_bytes, '\xfe')})});
  }
  return value;
}

// Guards against keys that get lost on the way and would run again.
TEST(HandoverTest, CarriesEveryKeyInBoundedParts) {
  const handover sent = MakeHandover(50, 300);
  std::vector<std::string> parts = EncodeHandover(sent, kPartBytes);
  EXPECT_GT(parts.size(), 2U);
  for (const std::string& part : parts) {
    EXPECT_LE(part.size(), kPartBytes);
  }
  std::reverse(parts.begin(), parts.end());
  const result<handover> decoded = DecodeHandover(parts);
  ASSERT_TRUE(IsOk(decoded));
  const handover& received = ValueOf(decoded);
  ASSERT_EQ(received.incarnations.size(), 2U);
  EXPECT_EQ(received.incarnations[1].generation, 9U);
  EXPECT_EQ(received.incarnations[1].last_issued_generation, 7U);
  ASSERT_EQ(received.incarnations[0].entries.size(), 50U);
  for (std::size_t index = 0; index < 50; ++index) {
    const exported_key& expected = sent.incarnations[0].entries[index];
    const exported_key& actual = received.incarnations[0].entries[index];
    EXPECT_EQ(actual.caller_part, expected.caller_part);
    EXPECT_EQ(actual.fingerprint, expected.fingerprint);
    EXPECT_EQ(*actual.response, *expected.response);
  }
}

// Guards against a large response that makes a part too large for the wire.
TEST(HandoverTest, LeavesOutResponsesThatDoNotFit) {
  const std::vector<std::string> parts =
      EncodeHandover(MakeHandover(1, 5000), kPartBytes);
  const result<handover> decoded = DecodeHandover(parts);
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).incarnations[0].entries[0].state,
            key_state::kResponseNotKept);
}

// Guards against input that exhausts the stack of the recursive reader.
TEST(HandoverTest, RejectsDeeplyNestedParts) {
  const std::vector<std::string> parts = {std::string(500'000, '\x81')};
  EXPECT_FALSE(IsOk(DecodeHandover(parts)));
}

// Guards against generations whose start overflows the clock, and against keys
// that expire before their generation has come.
TEST(HandoverTest, RejectsGenerationsOutOfRange) {
  handover sent = MakeHandover(1, 10);
  sent.incarnations[0].generation = UINT64_MAX;
  EXPECT_FALSE(IsOk(DecodeHandover(EncodeHandover(sent, kPartBytes))));
  sent.incarnations[0].generation = 3;
  EXPECT_FALSE(IsOk(DecodeHandover(EncodeHandover(sent, kPartBytes))));
}

// Guards against a second start time for keys that were taken over.
TEST(HandoverTest, RejectsRepeatedIncarnations) {
  handover sent = MakeHandover(1, 10);
  sent.incarnations.push_back(sent.incarnations[0]);
  EXPECT_FALSE(IsOk(DecodeHandover(EncodeHandover(sent, kPartBytes))));
}

// Guards against a partial hand-over, whose missing keys would run again.
TEST(HandoverTest, RejectsMissingRepeatedAndFaultyParts) {
  const std::vector<std::string> parts =
      EncodeHandover(MakeHandover(50, 300), kPartBytes);
  std::vector<std::string> missing(parts.begin() + 1, parts.end());
  EXPECT_FALSE(IsOk(DecodeHandover(missing)));
  missing.push_back(parts[1]);
  EXPECT_FALSE(IsOk(DecodeHandover(missing)));
  std::vector<std::string> faulty = parts;
  faulty[0].resize(faulty[0].size() / 2);
  EXPECT_FALSE(IsOk(DecodeHandover(faulty)));
  EXPECT_FALSE(IsOk(DecodeHandover({})));
}

}  // namespace
}  // namespace bulrushshore

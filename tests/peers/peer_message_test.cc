#include "libraries/peers/peer_message.h"

#include <vector>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

std::vector<peer_message> AllMessages() {
  return {{"h", ping_message{7, true}},
          {"h", pong_message{7}},
          {"h", hello_message{{"h", "z", {"10.0.0.1", 80}, {"10.0.0.1", 7}}}},
          {"h", leaving_message{}},
          {"h", host_lost_message{"x"}},
          {"h", observation_message{"t", -1, target_observation::kBadAnswer}},
          {"h", target_lost_message{~std::uint64_t{0}, "t"}},
          {"h", view_message{3, ~std::uint64_t{0}}}};
}

TEST(PeerMessageTest, DecodesWhatItEncodes) {
  for (const peer_message& message : AllMessages()) {
    const result<peer_message> decoded =
        DecodePeerMessage(EncodePeerMessage(message));
    ASSERT_TRUE(IsOk(decoded)) << message.body.index();
    EXPECT_EQ(ValueOf(decoded), message);
  }
}

TEST(PeerMessageTest, RefusesTruncatedAndExtendedMessages) {
  for (const peer_message& message : AllMessages()) {
    const std::string bytes = EncodePeerMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(IsOk(DecodePeerMessage(bytes.substr(0, size))));
    }
    EXPECT_FALSE(IsOk(DecodePeerMessage(bytes + "x")));
  }
}

TEST(PeerMessageTest, RefusesUnknownTypesAndObservations) {
  // ["h", 99] and ["h", 5, "t", 0, 99]
  EXPECT_FALSE(IsOk(DecodePeerMessage("\x82\x61h\x18\x63")));
  EXPECT_FALSE(IsOk(
      DecodePeerMessage(std::string("\x85\x61h\x05\x61t\x00\x18\x63", 9))));
}

}  // namespace
}  // namespace bulrushshore

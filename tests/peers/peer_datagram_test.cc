#include "libraries/peers/peer_datagram.h"

#include <vector>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

std::vector<peer_datagram> AllMessages() {
  return {
      {"h", ping_body{7, true}},
      {"h", pong_body{7}},
      {"h", hello_body{{"h", "z", {"10.0.0.1", 80}, {"10.0.0.1", 7}}}},
      {"h", leaving_body{}},
      {"h", host_lost_body{"x"}},
      {"h", observation_report{"t", -1, target_observation::kInvalidResponse}},
      {"h", target_loss_report{~std::uint64_t{0}, "t"}},
      {"h", target_loss_report{9, "t", false}},
      {"h", host_view{3, ~std::uint64_t{0}, 0, 1200}},
      {"h", host_view{3, 4}},
      {"h", suspicion_summary{{{"t", -1, 300}, {"u", 5, 4000}}}},
      {"h", target_leaving_report{"t", 7}},
      {"h", ping_body{7, false}, false}};
}

TEST(PeerDatagramTest, DecodesWhatItEncodes) {
  for (const peer_datagram& message : AllMessages()) {
    const result<peer_datagram> decoded =
        DecodePeerDatagram(EncodePeerDatagram(message));
    ASSERT_TRUE(IsOk(decoded)) << message.body.index();
    EXPECT_EQ(ValueOf(decoded), message);
  }
}

TEST(PeerDatagramTest, RefusesTruncatedAndExtendedMessages) {
  for (const peer_datagram& message : AllMessages()) {
    const std::string bytes = EncodePeerDatagram(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(IsOk(DecodePeerDatagram(bytes.substr(0, size))));
    }
    EXPECT_FALSE(IsOk(DecodePeerDatagram(bytes + "x")));
  }
}

TEST(PeerDatagramTest, RefusesUnknownTypesAndObservations) {
  // ["h", 99, true] and ["h", 5, true, "t", 0, 99]
  EXPECT_FALSE(IsOk(DecodePeerDatagram("\x83\x61h\x18\x63\xf5")));
  EXPECT_FALSE(IsOk(DecodePeerDatagram(
      std::string("\x86\x61h\x05\xf5\x61t\x00\x18\x63", 10))));
  // The same with a known observation.
  EXPECT_TRUE(IsOk(
      DecodePeerDatagram(std::string("\x86\x61h\x05\xf5\x61t\x00\x01", 9))));
}

// Guards against a view of unknown age that counts as current: hosts of the
// version before send no ages.
TEST(PeerDatagramTest, AViewWithoutAgesHasAnUnknownAge) {
  // ["h", 7, true, 3, 4]
  const result<peer_datagram> decoded =
      DecodePeerDatagram(std::string("\x85\x61h\x07\xf5\x03\x04", 7));
  ASSERT_TRUE(IsOk(decoded));
  const host_view expected{3, 4, host_view::kUnknownAge,
                           host_view::kUnknownAge};
  EXPECT_EQ(std::get<host_view>(ValueOf(decoded).body), expected);
  // ["h", 7, true, 3, 4, 5]
  EXPECT_FALSE(IsOk(
      DecodePeerDatagram(std::string("\x86\x61h\x07\xf5\x03\x04\x05", 8))));
}

// Guards against a report that hosts of the version before cannot read.
TEST(PeerDatagramTest, ACertainLossHasTheBytesOfEarlierVersions) {
  // ["h", 6, true, 9, "t"]
  const std::string bytes("\x85\x61h\x06\xf5\x09\x61t", 8);
  EXPECT_EQ(EncodePeerDatagram({"h", target_loss_report{9, "t"}}), bytes);
  EXPECT_EQ(ValueOf(DecodePeerDatagram(bytes)),
            (peer_datagram{"h", target_loss_report{9, "t", true}}));
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/membership/membership_rounds.h"

#include <utility>

#include <gtest/gtest.h>

#include "tests/membership/fleet_fixture.h"

namespace bulrushshore {
namespace {

const time_point kStart{std::chrono::hours(1)};

// Guards against views that stay different once the news of a change is no
// longer passed on.
TEST(MembershipRoundsTest, FullComparisonFindsWhatGossipNoLongerCarries) {
  seeded_random random(1);
  membership_options options;
  membership_rounds old_host(options, TestRecord(0, 1), random);
  for (std::size_t index = 1; index <= 40; ++index) {
    old_host.view().Merge(TestRecord(index, index + 1), kStart);
  }
  while (!old_host.view().TakeRecentRecords(40).empty()) {
  }
  options.seeds = {TestPeerAddress(0)};
  membership_rounds new_host(options, TestRecord(41, 42), random);
  std::vector<peer_call> calls = new_host.StartRound(kStart);
  for (int step = 0; step < 4 && !calls.empty(); ++step) {
    const digest_message* digest =
        std::get_if<digest_message>(&calls.front().body);
    ASSERT_NE(digest, nullptr);
    const peer_body reply = old_host.OnDigest("host-41", *digest, kStart);
    calls = new_host.OnReply(calls.front(), reply, kStart);
  }
  EXPECT_EQ(new_host.view().Records().size(), 42U);
  EXPECT_EQ(new_host.view().hash(), old_host.view().hash());
}

}  // namespace
}  // namespace bulrushshore

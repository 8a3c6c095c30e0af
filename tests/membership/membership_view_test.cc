#include "libraries/membership/membership_view.h"

#include <gtest/gtest.h>

#include "tests/membership/fleet_fixture.h"

namespace bulrushshore {
namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr std::chrono::seconds kSuspicion(5);
constexpr std::chrono::minutes kRetention(10);

host_record WithState(host_record record, host_state state) {
  record.state = state;
  return record;
}

host_record WithSequence(host_record record, std::uint64_t sequence) {
  record.sequence = sequence;
  return record;
}

class MembershipViewTest : public testing::Test {
 protected:
  membership_view view_{TestRecord(0, 100)};
  const host_record other_ = TestRecord(1, 200);
};

// Guards against old news that overwrites newer news.
TEST_F(MembershipViewTest, HigherSequenceWinsThenWorseState) {
  EXPECT_TRUE(view_.Merge(WithSequence(other_, 5), kStart));
  EXPECT_FALSE(view_.Merge(WithSequence(other_, 4), kStart));
  EXPECT_FALSE(view_.Merge(
      WithState(WithSequence(other_, 4), host_state::kLost), kStart));
  EXPECT_TRUE(view_.Merge(
      WithState(WithSequence(other_, 5), host_state::kSuspected), kStart));
  EXPECT_FALSE(view_.Merge(WithSequence(other_, 5), kStart));
  EXPECT_TRUE(view_.Merge(WithSequence(other_, 6), kStart));
  EXPECT_EQ(view_.Find(other_.id)->state, host_state::kLive);
}

// Guards against a live host that stays marked as lost.
TEST_F(MembershipViewTest, WronglySuspectedHostRefutes) {
  EXPECT_TRUE(
      view_.Merge(WithState(view_.self(), host_state::kSuspected), kStart));
  EXPECT_EQ(view_.self().state, host_state::kLive);
  EXPECT_EQ(view_.self().sequence, 2U);
  EXPECT_EQ(view_.refutations(), 1U);
}

// Guards against a restarted host that is known by its former process only.
TEST_F(MembershipViewTest, NewIncarnationReplacesTheFormerOne) {
  EXPECT_TRUE(view_.Merge(WithSequence(TestRecord(0, 99), 57), kStart));
  EXPECT_EQ(view_.self().incarnation, FormatHex(100));
  EXPECT_EQ(view_.self().sequence, 58U);
}

// Guards against a leaving host that returns to live by a refutation.
TEST_F(MembershipViewTest, RefutationKeepsLeaving) {
  view_.SetLeaving();
  view_.Merge(WithState(view_.self(), host_state::kLost), kStart);
  EXPECT_EQ(view_.self().state, host_state::kLeaving);
}

// Guards against hosts that stay suspected, and against a view that grows with
// every host that ever was.
TEST_F(MembershipViewTest, SuspectedHostIsLostThenForgotten) {
  view_.Merge(other_, kStart);
  EXPECT_TRUE(view_.Suspect(other_.id, kStart));
  EXPECT_FALSE(view_.Suspect(other_.id, kStart));
  view_.Expire(kStart + kSuspicion - std::chrono::milliseconds(1), kSuspicion,
               kRetention);
  EXPECT_EQ(view_.Find(other_.id)->state, host_state::kSuspected);
  const time_point lost_at = kStart + kSuspicion;
  EXPECT_EQ(view_.Expire(lost_at, kSuspicion, kRetention).size(), 1U);
  view_.Expire(lost_at + kRetention, kSuspicion, kRetention);
  EXPECT_EQ(view_.Find(other_.id), nullptr);
  EXPECT_FALSE(view_.Merge(WithState(other_, host_state::kLost), kStart));
}

// Guards against views that differ unnoticed, or look different when equal.
TEST_F(MembershipViewTest, HashDependsOnRecordsOnly) {
  membership_view peer{other_};
  EXPECT_NE(peer.hash(), view_.hash());
  peer.Merge(view_.self(), kStart);
  view_.Merge(other_, kStart);
  EXPECT_EQ(peer.hash(), view_.hash());
  view_.MergeCounters({other_.id, other_.incarnation, 9, 9});
  EXPECT_EQ(peer.hash(), view_.hash());
  view_.Suspect(other_.id, kStart);
  EXPECT_NE(peer.hash(), view_.hash());
}

// Guards against key generations of one process that are given to the next.
TEST_F(MembershipViewTest, CountersGrowWithinOneIncarnation) {
  view_.Merge(other_, kStart);
  view_.MergeCounters({other_.id, other_.incarnation, 3, 8});
  view_.MergeCounters({other_.id, other_.incarnation, 2, 9});
  EXPECT_EQ(view_.Find(other_.id)->key_generation, 3U);
  EXPECT_EQ(view_.Find(other_.id)->catalog_version, 9U);
  view_.MergeCounters({other_.id, FormatHex(201), 50, 50});
  EXPECT_EQ(view_.Find(other_.id)->key_generation, 3U);
  view_.Merge(WithSequence(TestRecord(1, 201), 2), kStart);
  EXPECT_EQ(view_.Find(other_.id)->key_generation, 0U);
}

// Guards against comparisons that miss one direction.
TEST_F(MembershipViewTest, ComparisonFindsBothDirections) {
  membership_view peer{other_};
  view_.Merge(TestRecord(2, 300), kStart);
  peer.Merge(WithSequence(TestRecord(2, 300), 2), kStart);
  const view_difference difference = view_.Compare(peer.Summaries());
  ASSERT_EQ(difference.newer_here.size(), 1U);
  EXPECT_EQ(difference.newer_here[0].id, "host-0");
  EXPECT_EQ(difference.newer_there,
            (std::vector<std::string>{"host-1", "host-2"}));
}

// Guards against exchanges that grow with the fleet, and news that is passed
// on for ever.
TEST_F(MembershipViewTest, RecentRecordsAreBoundedInNumberAndTime) {
  for (std::size_t index = 1; index <= 40; ++index) {
    view_.Merge(TestRecord(index, index), kStart);
  }
  EXPECT_EQ(view_.TakeRecentRecords(16).size(), 16U);
  std::size_t calls = 0;
  while (!view_.TakeRecentRecords(16).empty()) {
    ASSERT_LT(++calls, 100U);
  }
}

}  // namespace
}  // namespace bulrushshore

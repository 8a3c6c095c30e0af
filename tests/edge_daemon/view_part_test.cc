#include "services/edge_daemon/view_part.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};

view_part MakeDigest(std::uint64_t own) {
  view_part part(view_value_type::kDigest, kStart);
  part.SetOwn(own);
  return part;
}

// Guards against a host that takes its view for current because of a host that
// has another one.
TEST(ViewPartTest, OnlyTheSameDigestConfirms) {
  view_part part = MakeDigest(1);
  part.OnHeard(2, kStart + seconds(5));
  EXPECT_EQ(part.confirmed_at(), kStart);
  part.OnHeard(1, kStart + seconds(4));
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(4));
}

// Guards against a host that takes its view for current because another host
// repeats what it knew long ago.
TEST(ViewPartTest, ARepeatedOldConfirmationChangesNothing) {
  view_part part = MakeDigest(1);
  part.OnHeard(1, kStart + seconds(4));
  part.OnHeard(1, kStart + seconds(3));
  part.OnHeard(1, kStart + seconds(4));
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(4));
}

// Guards against a host that reads the store although it has just reached the
// view that another host had.
TEST(ViewPartTest, AValueThatIsReachedLaterIsConfirmedAsOfThen) {
  view_part part = MakeDigest(1);
  part.OnHeard(2, kStart + seconds(1));
  part.OnHeard(3, kStart + seconds(2));
  part.SetOwn(2);
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(1));
  part.SetOwn(3);
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(2));
}

TEST(ViewPartTest, AReadConfirms) {
  view_part part = MakeDigest(1);
  part.OnRead(kStart + seconds(3), false);
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(3));
  part.OnRead(kStart + seconds(2), false);
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(3));
}

// Guards against a host with the newest rules that reads the store because its
// leader still has the version before.
TEST(ViewPartTest, ANewerVersionIsConfirmedByAnOlderOne) {
  view_part part(view_value_type::kVersion, kStart);
  part.SetOwn(8);
  part.OnHeard(7, kStart + seconds(1));
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(1));
  part.OnHeard(9, kStart + seconds(2));
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(1));
}

// Guards against hosts that read the store for ever because they compute
// different digests of the same state, and against taking different states for
// the same one.
TEST(ViewPartTest, DigestsOfOneStateAreEquivalentAfterAListBetweenThem) {
  view_part part = MakeDigest(1);
  part.OnHeard(2, kStart + seconds(1));
  part.OnRead(kStart + seconds(2), false);
  part.OnHeard(2, kStart + seconds(3));
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(2));
  part.OnRead(kStart + seconds(4), true);
  part.OnHeard(2, kStart + seconds(5));
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(5));
  // Another value of either host ends it.
  part.OnHeard(3, kStart + seconds(6));
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(5));
  part.SetOwn(4);
  part.OnHeard(2, kStart + seconds(7));
  EXPECT_EQ(part.confirmed_at(), kStart + seconds(5));
}

}  // namespace
}  // namespace bulrushshore

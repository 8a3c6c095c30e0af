#include "libraries/targets/target_registry.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

target_entry MakeEntry(std::string id, std::int64_t started_at_unix_ms = 100) {
  target_entry entry;
  entry.id = std::move(id);
  entry.service = "s";
  entry.address = {"10.0.0.1", 80};
  entry.zone = "a";
  entry.slots = 6;
  entry.started_at_unix_ms = started_at_unix_ms;
  entry.sequence = 1;
  return entry;
}

bool IsUsable(const target_registry& registry, std::string_view id) {
  const std::span<const registered_target> usable = registry.UsableTargets("s");
  return std::any_of(
      usable.begin(), usable.end(),
      [id](const registered_target& target) { return target.entry.id == id; });
}

class TargetRegistryTest : public testing::Test {
 protected:
  void AddFourTargets() {
    for (const char* id : {"t1", "t2", "t3", "t4"}) {
      registry_.Apply(MakeEntry(id), kStart);
    }
  }

  target_registry registry_;
};

TEST_F(TargetRegistryTest, DrainingTargetGetsNoNewRequests) {
  registry_.Apply(MakeEntry("t1"), kStart);
  target_entry draining = MakeEntry("t1");
  draining.is_draining = true;
  draining.sequence = 2;
  EXPECT_EQ(registry_.Apply(draining, kStart).type,
            target_change_type::kDraining);
  EXPECT_FALSE(IsUsable(registry_, "t1"));
}

TEST_F(TargetRegistryTest, RemovedTargetGetsNoNewRequests) {
  registry_.Apply(MakeEntry("t1"), kStart);
  EXPECT_EQ(registry_.Remove("t1", kStart)->type, target_change_type::kRemoved);
  EXPECT_FALSE(IsUsable(registry_, "t1"));
}

// A late update must not replace a newer entry. A write to the list can take
// effect seconds late, so that an older update arrives after a newer one.
TEST_F(TargetRegistryTest, IgnoresUpdatesOfAnEarlierIncarnation) {
  registry_.Apply(MakeEntry("t1", 200), kStart);
  target_entry old = MakeEntry("t1", 100);
  old.is_draining = true;
  EXPECT_EQ(registry_.Apply(old, kStart).type, target_change_type::kOutdated);
  EXPECT_TRUE(IsUsable(registry_, "t1"));
  registry_.Remove("t1", kStart);
  EXPECT_EQ(registry_.Apply(old, kStart).type, target_change_type::kOutdated);
}

TEST_F(TargetRegistryTest, IgnoresOlderUpdatesOfTheSameIncarnation) {
  target_entry newer = MakeEntry("t1");
  newer.is_draining = true;
  newer.sequence = 5;
  registry_.Apply(newer, kStart);
  EXPECT_EQ(registry_.Apply(MakeEntry("t1"), kStart).type,
            target_change_type::kOutdated);
  EXPECT_FALSE(IsUsable(registry_, "t1"));
}

// What was learned about an earlier incarnation must not apply to the next.
TEST_F(TargetRegistryTest, RestartUnderTheSameIdIsANewIncarnation) {
  registry_.Apply(MakeEntry("t1", 100), kStart);
  const std::uint64_t before = registry_.UsableTargets("s")[0].incarnation;
  registry_.Disown("t1");
  EXPECT_FALSE(IsUsable(registry_, "t1"));
  registry_.Apply(MakeEntry("t1", 200), kStart);
  ASSERT_TRUE(IsUsable(registry_, "t1"));
  EXPECT_NE(registry_.UsableTargets("s")[0].incarnation, before);
}

// A renewed entry must not make a disowned target usable again: by then its
// address may belong to another service.
TEST_F(TargetRegistryTest, DisownedTargetStaysUnusableUntilItRestarts) {
  registry_.Apply(MakeEntry("t1"), kStart);
  registry_.Disown("t1");
  target_entry renewed = MakeEntry("t1");
  renewed.sequence = 9;
  registry_.Apply(renewed, kStart);
  EXPECT_FALSE(IsUsable(registry_, "t1"));
}

// An outage of the store must not take targets out of use: their entries expire
// during it although the targets still process requests.
// Guards against requests to a target that has announced its departure, after
// its entry was removed and written once more. Entries expire while the list is
// unavailable, and targets restore them afterwards.
TEST_F(TargetRegistryTest, LeavingTargetStaysUnusableUntilItRestarts) {
  registry_.Apply(MakeEntry("t1"), kStart);
  EXPECT_TRUE(registry_.MarkLeaving("t1", 100));
  EXPECT_FALSE(registry_.MarkLeaving("t1", 100));
  EXPECT_FALSE(IsUsable(registry_, "t1"));
  registry_.Remove("t1", kStart);
  registry_.Apply(MakeEntry("t1"), kStart);
  EXPECT_FALSE(IsUsable(registry_, "t1"));
  registry_.Apply(MakeEntry("t1", 200), kStart);
  EXPECT_TRUE(IsUsable(registry_, "t1"));
}

// Guards against a late report about an earlier incarnation.
TEST_F(TargetRegistryTest, IgnoresThatAnEarlierIncarnationWasLeaving) {
  registry_.Apply(MakeEntry("t1", 200), kStart);
  EXPECT_FALSE(registry_.MarkLeaving("t1", 100));
  EXPECT_FALSE(registry_.MarkLeaving("unknown", 100));
  EXPECT_TRUE(IsUsable(registry_, "t1"));
}

TEST_F(TargetRegistryTest, KeepsTargetsWhoseEntriesExpiredTogether) {
  AddFourTargets();
  registry_.OnListUnavailable();
  registry_.OnListAvailable(kStart);
  registry_.Replace({}, kStart);
  EXPECT_EQ(registry_.usable_count(), 4U);
  registry_.Apply(MakeEntry("t1"), kStart + milliseconds(500));
  const time_point end = kStart + milliseconds(1500);
  EXPECT_EQ(registry_.NextDecision(), end);
  registry_.Advance(end);
  EXPECT_TRUE(IsUsable(registry_, "t1"));
  EXPECT_EQ(registry_.usable_count(), 1U);
}

// A departed target must not get requests after a network outage. In scale-2 of
// etg-gateway, a host that had lost its network link kept a departed target for
// 1.8 s after it could read the list again.
TEST_F(TargetRegistryTest, RemovesASingleTargetThatLeftDuringAnOutageAtOnce) {
  AddFourTargets();
  registry_.OnListUnavailable();
  registry_.OnListAvailable(kStart);
  const std::vector<target_entry> listed = {MakeEntry("t1"), MakeEntry("t2"),
                                            MakeEntry("t3")};
  registry_.Replace(listed, kStart);
  EXPECT_FALSE(IsUsable(registry_, "t4"));
}

TEST_F(TargetRegistryTest, RemovesMissingTargetsAtOnceWithoutAnOutage) {
  AddFourTargets();
  registry_.Replace({}, kStart);
  EXPECT_EQ(registry_.usable_count(), 0U);
}

TEST_F(TargetRegistryTest, DrainingTargetIsNotHeld) {
  target_entry draining = MakeEntry("t1");
  draining.is_draining = true;
  registry_.Apply(draining, kStart);
  registry_.OnListUnavailable();
  registry_.OnListAvailable(kStart);
  registry_.Replace({}, kStart);
  EXPECT_EQ(registry_.Find("t1"), nullptr);
}

// Hosts compare digests to detect that one of them reads an outdated list. The
// digest must change with the fields that placement uses, but not with each
// heartbeat.
TEST_F(TargetRegistryTest, DigestCoversTheFieldsThatAffectPlacement) {
  target_registry other;
  registry_.Apply(MakeEntry("t1"), kStart);
  registry_.Apply(MakeEntry("t2"), kStart);
  other.Apply(MakeEntry("t2"), kStart);
  EXPECT_NE(registry_.Digest(), other.Digest());
  target_entry heartbeat = MakeEntry("t1");
  heartbeat.sequence = 40;
  other.Apply(heartbeat, kStart);
  EXPECT_EQ(registry_.Digest(), other.Digest());
  heartbeat.sequence = 41;
  heartbeat.is_draining = true;
  other.Apply(heartbeat, kStart);
  EXPECT_NE(registry_.Digest(), other.Digest());
}

// Guards against a digest that is computed once and kept after a change.
TEST_F(TargetRegistryTest, DigestFollowsEachChange) {
  registry_.Apply(MakeEntry("t1"), kStart);
  const std::uint64_t one = registry_.Digest();
  registry_.Apply(MakeEntry("t2"), kStart);
  const std::uint64_t two = registry_.Digest();
  EXPECT_NE(two, one);
  registry_.Remove("t2", kStart);
  EXPECT_EQ(registry_.Digest(), one);
  const std::vector<target_entry> both{MakeEntry("t1"), MakeEntry("t2")};
  registry_.Replace(both, kStart);
  EXPECT_EQ(registry_.Digest(), two);
  registry_.OnListUnavailable();
  registry_.OnListAvailable(kStart);
  registry_.Remove("t2", kStart);
  EXPECT_EQ(registry_.Digest(), one) << "held targets do not count";
  registry_.Apply(MakeEntry("t2"), kStart);
  EXPECT_EQ(registry_.Digest(), two);
}

}  // namespace
}  // namespace bulrushshore

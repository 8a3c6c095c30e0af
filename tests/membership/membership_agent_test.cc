#include "libraries/membership/membership_agent.h"

#include <gtest/gtest.h>

#include "tests/membership/fleet_fixture.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kMinute(60);

class MembershipAgentTest : public testing::Test {
 protected:
  void StartConverged(std::size_t count) {
    fleet_.Start(count);
    ASSERT_LT(fleet_.Run(kMinute, [this] { return fleet_.IsConverged(); }),
              kMinute);
  }

  bool EveryoneSees(std::size_t subject, host_state state) {
    for (std::size_t observer = 0; observer < fleet_.size(); ++observer) {
      if (observer != subject && fleet_.IsRunning(observer) &&
          fleet_.StateOf(observer, subject) != state) {
        return false;
      }
    }
    return true;
  }

  test_fleet fleet_;
};

// Guards against hosts that stay unknown although they have a common seed.
TEST_F(MembershipAgentTest, HostsFindEachOtherThroughOneSeed) {
  StartConverged(8);
}

// Guards against callers that are sent to a crashed host.
TEST_F(MembershipAgentTest, CrashedHostIsLost) {
  StartConverged(8);
  fleet_.StopHost(5);
  EXPECT_LT(fleet_.Run(kMinute,
                       [this] { return EveryoneSees(5, host_state::kLost); }),
            std::chrono::seconds(20));
}

// Guards against a broken link in one direction that costs a healthy host its
// callers: the others reach it, so nobody may suspect it.
TEST_F(MembershipAgentTest, OneWayCutSuspectsNobody) {
  StartConverged(8);
  fleet_.network().Cut(TestPeerAddress(2), TestPeerAddress(5));
  bool was_suspected = false;
  fleet_.Run(kMinute, [this, &was_suspected] {
    was_suspected = was_suspected || !fleet_.IsConverged();
    return was_suspected;
  });
  EXPECT_FALSE(was_suspected);
}

// Guards against an isolated host that declares the whole fleet lost.
TEST_F(MembershipAgentTest, IsolatedHostSuspectsNobody) {
  StartConverged(8);
  fleet_.Pause(3);
  fleet_.Run(kMinute);
  for (std::size_t subject = 0; subject < fleet_.size(); ++subject) {
    EXPECT_EQ(fleet_.StateOf(3, subject), host_state::kLive);
  }
}

// Guards against a host that stays out after a pause.
TEST_F(MembershipAgentTest, PausedHostIsLostAndReturns) {
  StartConverged(8);
  fleet_.Pause(3);
  fleet_.Run(kMinute, [this] { return EveryoneSees(3, host_state::kLost); });
  EXPECT_TRUE(EveryoneSees(3, host_state::kLost));
  fleet_.Resume(3);
  EXPECT_LT(fleet_.Run(kMinute, [this] { return fleet_.IsConverged(); }),
            kMinute);
}

// Guards against a restarted process that is taken for the former one.
TEST_F(MembershipAgentTest, RestartedHostIsKnownByItsNewIncarnation) {
  StartConverged(8);
  const std::string former = fleet_.at(4).agent->Self().incarnation;
  fleet_.StopHost(4);
  fleet_.StartHost(4);
  const std::string incarnation = fleet_.at(4).agent->Self().incarnation;
  ASSERT_NE(incarnation, former);
  const std::function<bool()> is_known = [this, &incarnation, &former] {
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
      if (!fleet_.at(index).agent->FindKeyOwner(incarnation).has_value() ||
          fleet_.at(index).agent->FindKeyOwner(former).has_value()) {
        return false;
      }
    }
    return fleet_.IsConverged();
  };
  EXPECT_LT(fleet_.Run(kMinute, is_known), kMinute);
}

// Guards against a leaving host that is given new callers.
TEST_F(MembershipAgentTest, LeavingSpreads) {
  StartConverged(8);
  fleet_.at(6).agent->BeginLeaving();
  EXPECT_LT(
      fleet_.Run(kMinute,
                 [this] { return EveryoneSees(6, host_state::kLeaving); }),
      std::chrono::seconds(10));
}

// Guards against keys that nobody answers for after a hand-over.
TEST_F(MembershipAgentTest, InheritedKeysAreFoundAtTheSuccessor) {
  StartConverged(8);
  const std::string incarnation = fleet_.at(2).agent->Self().incarnation;
  bool is_done = false;
  fleet_.at(2).agent->BeginLeaving();
  fleet_.at(1).agent->Inherit({incarnation}, [&is_done] { is_done = true; });
  fleet_.Run(std::chrono::seconds(10));
  fleet_.StopHost(2);
  EXPECT_TRUE(is_done);
  for (std::size_t index : {0U, 1U, 3U, 7U}) {
    const std::optional<host_record> owner =
        fleet_.at(index).agent->FindKeyOwner(incarnation);
    ASSERT_TRUE(owner.has_value());
    EXPECT_EQ(owner->id, "host-1");
  }
}

// Guards against two parts of a fleet that do not find together again.
TEST_F(MembershipAgentTest, PartitionedFleetRejoins) {
  StartConverged(8);
  for (std::size_t left = 0; left < 4; ++left) {
    for (std::size_t right = 4; right < 8; ++right) {
      fleet_.network().Cut(TestPeerAddress(left), TestPeerAddress(right));
      fleet_.network().Cut(TestPeerAddress(right), TestPeerAddress(left));
    }
  }
  fleet_.Run(kMinute,
             [this] { return fleet_.StateOf(0, 7) == host_state::kLost; });
  EXPECT_EQ(fleet_.StateOf(0, 1), host_state::kLive);
  for (std::size_t left = 0; left < 4; ++left) {
    for (std::size_t right = 4; right < 8; ++right) {
      fleet_.network().Restore(TestPeerAddress(left), TestPeerAddress(right));
      fleet_.network().Restore(TestPeerAddress(right), TestPeerAddress(left));
    }
  }
  EXPECT_LT(fleet_.Run(kMinute, [this] { return fleet_.IsConverged(); }),
            kMinute);
}

}  // namespace
}  // namespace bulrushshore

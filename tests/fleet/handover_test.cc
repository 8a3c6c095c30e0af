#include <optional>

#include <gtest/gtest.h>

#include "tests/fleet/agent_fleet.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kMinute(60);

class HandoverTest : public testing::Test {
 protected:
  // Host 3 shares its zone with host 0 only, which is its successor.
  void SetUp() override {
    for (std::size_t index = 0; index < 4; ++index) {
      fleet_.StartHost(index);
    }
    fleet_.Run(std::chrono::seconds(10));
    incarnation_ = fleet_.at(3).agent->directory().Self().incarnation;
  }

  void HandOver(const std::vector<std::string>& parts) {
    fleet_.at(3).agent->BeginLeaving();
    fleet_.at(3).agent->HandOverKeys(
        parts, [this](const status& outcome) { outcome_ = outcome; });
  }

  bool IsDone() const { return outcome_.has_value(); }

  std::string OwnerSeenBy(std::size_t index) {
    const std::optional<host_record> owner =
        fleet_.at(index).agent->directory().FindKeyOwner(incarnation_);
    return owner.has_value() ? owner->id : "";
  }

  // Cuts or restores what the successor sends to the sender.
  void CutAnswers() {
    fleet_.network().Cut(agent_fleet::PeerAddress(0),
                         agent_fleet::PeerAddress(3));
  }

  agent_fleet fleet_;
  std::string incarnation_;
  std::optional<status> outcome_;
};

// Guards against a table that arrives incomplete, and keys that are not found.
TEST_F(HandoverTest, SuccessorTakesTheTableAndAnswersForTheKeys) {
  const std::vector<std::string> parts = {std::string(300'000, 'a'), "",
                                          std::string("\0z", 2)};
  HandOver(parts);
  fleet_.Run(kMinute, [this] { return IsDone(); });
  ASSERT_TRUE(IsDone());
  EXPECT_TRUE(IsOk(*outcome_));
  ASSERT_EQ(fleet_.at(0).imported.size(), 1U);
  EXPECT_EQ(fleet_.at(0).imported[0], parts);
  EXPECT_EQ(OwnerSeenBy(0), "host-0");
  fleet_.StopHost(3);
  fleet_.Run(std::chrono::seconds(10));
  EXPECT_EQ(OwnerSeenBy(1), "host-0");
  EXPECT_EQ(OwnerSeenBy(2), "host-0");
}

// Guards against a table that is imported twice or given to a second host
// because an answer was lost.
TEST_F(HandoverTest, LostAnswersLeaveOneSuccessor) {
  CutAnswers();
  HandOver({"table"});
  fleet_.Run(kMinute, [this] { return IsDone(); });
  ASSERT_TRUE(IsDone());
  EXPECT_EQ(ErrorOf(*outcome_).code, error_code::kUnknownEffect);
  EXPECT_EQ(fleet_.at(0).imported.size(), 1U);
  EXPECT_TRUE(fleet_.at(1).imported.empty());
  EXPECT_TRUE(fleet_.at(2).imported.empty());
}

// Guards against an answer that is lost for a while only and makes the sender
// give up.
TEST_F(HandoverTest, RepeatedSliceIsAnsweredAgain) {
  CutAnswers();
  HandOver({"table"});
  fleet_.Run(std::chrono::seconds(3));
  fleet_.network().Restore(agent_fleet::PeerAddress(0),
                           agent_fleet::PeerAddress(3));
  fleet_.Run(kMinute, [this] { return IsDone(); });
  ASSERT_TRUE(IsDone());
  EXPECT_TRUE(IsOk(*outcome_));
  EXPECT_EQ(fleet_.at(0).imported.size(), 1U);
}

// Guards against a key that runs twice: the first process may have run keys of
// the table, which the next process at the same address does not know.
TEST_F(HandoverTest, RestartedSuccessorTakesNoRepeatedTable) {
  CutAnswers();
  HandOver({"table"});
  fleet_.Run(std::chrono::seconds(3));
  ASSERT_EQ(fleet_.at(0).imported.size(), 1U);
  fleet_.StopHost(0);
  fleet_.StartHost(0);
  fleet_.network().Restore(agent_fleet::PeerAddress(0),
                           agent_fleet::PeerAddress(3));
  fleet_.Run(kMinute, [this] { return IsDone(); });
  ASSERT_TRUE(IsDone() && !IsOk(*outcome_));
  EXPECT_EQ(ErrorOf(*outcome_).code, error_code::kUnknownEffect);
  EXPECT_TRUE(fleet_.at(0).imported.empty());
  // Until then others may still hold the record of the first process.
  fleet_.Run(std::chrono::seconds(20));
  EXPECT_NE(OwnerSeenBy(1), "host-0");
}

// Guards against a successor that announces keys which it did not take.
TEST_F(HandoverTest, FailedImportIsRefusedAndNotAnnounced) {
  fleet_.at(0).refuses_imports = true;
  HandOver({"table"});
  fleet_.Run(kMinute, [this] { return IsDone(); });
  ASSERT_TRUE(IsDone());
  EXPECT_EQ(ErrorOf(*outcome_).code, error_code::kPermissionDenied);
  EXPECT_NE(OwnerSeenBy(1), "host-0");
}

// Guards against keys that are lost when their second owner shuts down too.
TEST_F(HandoverTest, InheritedKeysAreHandedOn) {
  HandOver({"table"});
  fleet_.Run(kMinute, [this] { return IsDone(); });
  fleet_.StopHost(3);
  fleet_.Run(std::chrono::seconds(20));
  outcome_.reset();
  fleet_.at(0).agent->BeginLeaving();
  fleet_.at(0).agent->HandOverKeys(
      {"both"}, [this](const status& outcome) { outcome_ = outcome; });
  fleet_.Run(kMinute, [this] { return IsDone(); });
  ASSERT_TRUE(IsDone() && IsOk(*outcome_));
  fleet_.Run(std::chrono::seconds(10));
  const std::string owner = OwnerSeenBy(1);
  EXPECT_TRUE(owner == "host-1" || owner == "host-2") << owner;
  EXPECT_EQ(OwnerSeenBy(2), owner);
}

}  // namespace
}  // namespace bulrushshore

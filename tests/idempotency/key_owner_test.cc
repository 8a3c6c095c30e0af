#include "libraries/idempotency/key_owner.h"

#include <memory>
#include <optional>

#include <gtest/gtest.h>
#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>

#include "libraries/idempotency/key_owner_messages.h"

namespace bulrushshore {
namespace {

struct paused_config : caf::actor_system_config {
  paused_config() { set("scheduler.policy", caf::atom("testing")); }
};

// Runs the actor on the test scheduler, whose clock the test advances.
class KeyOwnerTest : public testing::Test {
 protected:
  KeyOwnerTest()
      : scheduler_(dynamic_cast<caf::scheduler::test_coordinator&>(
            system_.scheduler())),
        owner_(std::make_unique<key_owner>(system_,
                                           idempotency_limits{},
                                           "00000000000000aa")) {}

  ~KeyOwnerTest() override {
    owner_.reset();
    scheduler_.run();
  }

  // Sends a claim from a new blocking actor and lets the owner work.
  std::unique_ptr<caf::scoped_actor> Claim(const std::string& caller_part) {
    std::unique_ptr<caf::scoped_actor> caller =
        std::make_unique<caf::scoped_actor>(system_);
    (*caller)->send(
        owner_->actor(),
        claim_message{Key(caller_part), 1, system_.clock().now() + kPatience});
    scheduler_.run();
    return caller;
  }

  // Returns the answer if it is there.
  static std::optional<key_answer> AnswerOf(caf::scoped_actor& caller) {
    if (!caller->has_next_message()) {
      return std::nullopt;
    }
    std::optional<key_answer> answer;
    caller->receive(
        [&](const key_claim_answer& received) { answer = received.answer; });
    return answer;
  }

  static idempotency_key Key(const std::string& caller_part) {
    return {"host-1", "00000000000000aa", 0, caller_part};
  }

  static constexpr std::chrono::seconds kPatience{2};
  paused_config config_;
  caf::actor_system system_{config_};
  caf::scheduler::test_coordinator& scheduler_;
  std::unique_ptr<key_owner> owner_;
};

// Guards against a retry that runs next to its first attempt.
TEST_F(KeyOwnerTest, AnswersWaitingCallersWhenTheFirstAttemptEnds) {
  const std::unique_ptr<caf::scoped_actor> first = Claim("a");
  const std::unique_ptr<caf::scoped_actor> second = Claim("a");
  EXPECT_EQ(AnswerOf(*first), key_answer::kRun);
  EXPECT_EQ(AnswerOf(*second), std::nullopt);
  owner_->Complete(Key("a"), {201, {}, "paper"});
  scheduler_.run();
  EXPECT_EQ(AnswerOf(*second), key_answer::kStoredResponse);
}

// Guards against a caller that waits beyond its deadline.
TEST_F(KeyOwnerTest, AnswersWaitingCallersAtTheirDeadline) {
  const std::unique_ptr<caf::scoped_actor> first = Claim("a");
  const std::unique_ptr<caf::scoped_actor> second = Claim("a");
  scheduler_.advance_time(kPatience - std::chrono::seconds(1));
  scheduler_.run();
  EXPECT_EQ(AnswerOf(*second), std::nullopt);
  scheduler_.advance_time(std::chrono::seconds(1));
  scheduler_.run();
  EXPECT_EQ(AnswerOf(*second), key_answer::kWaitTimeout);
  owner_->Complete(Key("a"), {201, {}, "paper"});
  scheduler_.run();
  EXPECT_EQ(AnswerOf(*second), std::nullopt);
}

// Guards against callers that are told of a response that does not exist.
TEST_F(KeyOwnerTest, PassesOnThatNothingStarted) {
  const std::unique_ptr<caf::scoped_actor> first = Claim("a");
  const std::unique_ptr<caf::scoped_actor> second = Claim("a");
  owner_->Abandon(Key("a"));
  scheduler_.run();
  EXPECT_EQ(AnswerOf(*second), key_answer::kFirstAttemptNotStarted);
  const std::unique_ptr<caf::scoped_actor> third = Claim("a");
  EXPECT_EQ(AnswerOf(*third), key_answer::kRun);
  const std::unique_ptr<caf::scoped_actor> fourth = Claim("a");
  owner_->CompleteUnknown(Key("a"));
  scheduler_.run();
  EXPECT_EQ(AnswerOf(*fourth), key_answer::kOutcomeUnknown);
}

}  // namespace
}  // namespace bulrushshore

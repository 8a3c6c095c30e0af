#include "libraries/idempotency/idempotency_table.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr std::string_view kOwn = "00000000000000aa";
constexpr std::chrono::seconds kGeneration{60};

idempotency_key Key(std::string caller_part, std::uint64_t generation = 0) {
  return {"host-1", std::string(kOwn), generation, std::move(caller_part)};
}

std::shared_ptr<const stored_response> Response(std::string body) {
  return std::make_shared<const stored_response>(
      stored_response{201, {{"ETag", "e"}}, std::move(body)});
}

class IdempotencyTableTest : public testing::Test {
 protected:
  claim_decision Decide(const idempotency_key& key,
                        std::uint64_t fingerprint = 1) {
    return table_.Claim(key, fingerprint, clock_.Now()).decision;
  }

  manual_clock clock_;
  idempotency_limits limits_{4, 100, 50, 3, kGeneration};
  idempotency_table table_{limits_, std::string(kOwn), clock_.Now()};
};

// Guards against a key that runs twice.
TEST_F(IdempotencyTableTest, StartsAKeyOnce) {
  EXPECT_EQ(Decide(Key("a")), claim_decision::kRun);
  EXPECT_EQ(Decide(Key("a")), claim_decision::kWait);
  table_.Complete(Key("a"), Response("paper"));
  const claim again = table_.Claim(Key("a"), 1, clock_.Now());
  EXPECT_EQ(again.decision, claim_decision::kStoredResponse);
  EXPECT_EQ(again.response->body, "paper");
  EXPECT_EQ(Decide(Key("a"), 2), claim_decision::kDifferentRequest);
}

// Guards against work that runs again although its first outcome is not known.
TEST_F(IdempotencyTableTest, NeverRestartsAnUnknownOutcome) {
  EXPECT_EQ(Decide(Key("a")), claim_decision::kRun);
  table_.CompleteUnknown(Key("a"));
  EXPECT_EQ(Decide(Key("a")), claim_decision::kOutcomeUnknown);
  table_.Abandon(Key("a"));
  table_.Complete(Key("a"), Response("late"));
  EXPECT_EQ(Decide(Key("a")), claim_decision::kOutcomeUnknown);
}

// Guards against a key that stays unusable although nothing started.
TEST_F(IdempotencyTableTest, ForgetsAnAttemptThatDidNotStart) {
  EXPECT_EQ(Decide(Key("a")), claim_decision::kRun);
  table_.Abandon(Key("a"));
  EXPECT_EQ(table_.entry_count(), 0U);
  EXPECT_EQ(Decide(Key("a")), claim_decision::kRun);
}

// Guards against a key that runs again after its entry was dropped.
TEST_F(IdempotencyTableTest, ExpiresWholeGenerations) {
  EXPECT_EQ(Decide(Key("a")), claim_decision::kRun);
  table_.Complete(Key("a"), Response("paper"));
  clock_.Advance(3 * kGeneration - duration(1));
  EXPECT_EQ(Decide(Key("a")), claim_decision::kStoredResponse);
  clock_.Advance(duration(1));
  EXPECT_EQ(Decide(Key("a")), claim_decision::kExpired);
  EXPECT_EQ(table_.entry_count(), 0U);
  EXPECT_EQ(table_.response_bytes(), 0U);
  EXPECT_EQ(Decide(Key("a", 1)), claim_decision::kRun);
  EXPECT_EQ(Decide(Key("a", 4)), claim_decision::kNotIssued);
}

// Guards against an eviction at the bound, after which a key would run again.
TEST_F(IdempotencyTableTest, RefusesNewKeysWhenFull) {
  for (const char* name : {"a", "b", "c", "d"}) {
    EXPECT_EQ(Decide(Key(name)), claim_decision::kRun);
  }
  EXPECT_EQ(Decide(Key("e")), claim_decision::kTableFull);
  EXPECT_EQ(Decide(Key("a")), claim_decision::kWait);
}

// Guards against stored responses without a bound.
TEST_F(IdempotencyTableTest, DropsResponsesThatDoNotFit) {
  const std::string body(45, 'x');
  for (const char* name : {"a", "b", "c", "d"}) {
    EXPECT_EQ(Decide(Key(name)), claim_decision::kRun);
  }
  table_.Complete(Key("a"), Response(std::string(46, 'x')));
  EXPECT_EQ(Decide(Key("a")), claim_decision::kResponseNotKept);
  table_.Complete(Key("b"), Response(body));
  table_.Complete(Key("c"), Response(body));
  table_.Complete(Key("d"), Response("y"));
  EXPECT_EQ(Decide(Key("c")), claim_decision::kStoredResponse);
  EXPECT_EQ(Decide(Key("d")), claim_decision::kResponseNotKept);
  EXPECT_EQ(table_.response_bytes(), limits_.max_response_bytes);
}

// Guards against two owners of one key after a hand-over.
TEST_F(IdempotencyTableTest, StartsNothingAfterTheSeal) {
  EXPECT_EQ(Decide(Key("a")), claim_decision::kRun);
  EXPECT_EQ(Decide(Key("b")), claim_decision::kRun);
  table_.Complete(Key("b"), Response("paper"));
  table_.Seal();
  EXPECT_EQ(Decide(Key("c")), claim_decision::kSealed);
  EXPECT_EQ(Decide(Key("b")), claim_decision::kStoredResponse);
  table_.Abandon(Key("a"));
  EXPECT_EQ(Decide(Key("a")), claim_decision::kOutcomeUnknown);
  EXPECT_EQ(ErrorOf(table_.Import({}, clock_.Now())).code,
            error_code::kUnavailable);
}

// Guards against a successor that runs what the old owner ran, forgets what it
// knew, or keeps keys for longer than the old owner.
TEST_F(IdempotencyTableTest, HandsItsKeysOver) {
  clock_.Advance(kGeneration);
  EXPECT_EQ(Decide(Key("running", 1)), claim_decision::kRun);
  EXPECT_EQ(Decide(Key("done")), claim_decision::kRun);
  table_.Complete(Key("done"), Response("paper"));
  table_.Seal();
  const handover exported = table_.Export(clock_.Now());

  idempotency_table successor(limits_, "00000000000000bb", clock_.Now());
  ASSERT_TRUE(IsOk(successor.Import(exported, clock_.Now())));
  EXPECT_EQ(ErrorOf(successor.Import(exported, clock_.Now())).code,
            error_code::kConflict);
  const auto decide = [&](const idempotency_key& key) {
    return successor.Claim(key, 1, clock_.Now()).decision;
  };
  EXPECT_EQ(decide(Key("done")), claim_decision::kStoredResponse);
  EXPECT_EQ(decide(Key("running", 1)), claim_decision::kOutcomeUnknown);
  EXPECT_EQ(decide(Key("new", 1)), claim_decision::kRun);
  clock_.Advance(kGeneration);
  EXPECT_EQ(decide(Key("never", 2)), claim_decision::kNotIssued);
  clock_.Advance(kGeneration);
  EXPECT_EQ(decide(Key("done")), claim_decision::kExpired);
  EXPECT_EQ(decide({"h", "00000000000000cc", 0, "x"}),
            claim_decision::kNotOwner);
}

// Guards against an import beyond the bound, which could only be kept by
// evicting entries.
TEST_F(IdempotencyTableTest, RejectsAHandOverThatDoesNotFit) {
  for (const char* name : {"a", "b", "c"}) {
    EXPECT_EQ(Decide(Key(name)), claim_decision::kRun);
  }
  table_.Seal();
  const handover exported = table_.Export(clock_.Now());
  idempotency_table successor(limits_, "00000000000000bb", clock_.Now());
  for (const char* name : {"x", "y"}) {
    successor.Claim({"h", "00000000000000bb", 0, name}, 1, clock_.Now());
  }
  EXPECT_EQ(ErrorOf(successor.Import(exported, clock_.Now())).code,
            error_code::kResourceExhausted);
  EXPECT_EQ(successor.entry_count(), 2U);
}

}  // namespace
}  // namespace bulrushshore

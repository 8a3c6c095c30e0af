#include "libraries/admission/crash_guard.h"

#include <string>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr std::uint64_t kFingerprint = 42;
const time_point kStart{std::chrono::hours(1)};

// Guards against a request that crashes one target after another.
TEST(CrashGuardTest, HoldsBackAfterLossOfTwoTargets) {
  crash_guard guard;
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "a", kStart));
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "a", kStart));
  EXPECT_FALSE(guard.HeldUntil(kFingerprint, kStart));
  EXPECT_TRUE(guard.RecordLoss(kFingerprint, "b", kStart));
  EXPECT_EQ(guard.HeldUntil(kFingerprint, kStart),
            kStart + std::chrono::minutes(10));
}

// Guards against a hold that never ends or that an operator cannot end, and
// against counting losses from before the hold.
// Guards against a request that crashes targets at once: on a connection that
// had been idle, each loss may have another reason.
TEST(CrashGuardTest, HoldsBackAfterThreePossibleLosses) {
  crash_guard guard;
  const loss_evidence possible = loss_evidence::kPossible;
  EXPECT_FALSE(guard.IsSuspected(kFingerprint, kStart));
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "a", kStart, possible));
  EXPECT_TRUE(guard.IsSuspected(kFingerprint, kStart));
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "b", kStart, possible));
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "b", kStart, possible));
  EXPECT_TRUE(guard.RecordLoss(kFingerprint, "c", kStart, possible));
}

TEST(CrashGuardTest, CertainLossesCountMoreThanPossibleOnes) {
  crash_guard guard;
  guard.RecordLoss(kFingerprint, "a", kStart, loss_evidence::kPossible);
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "b", kStart));
  EXPECT_TRUE(guard.RecordLoss(kFingerprint, "a", kStart));
}

// Guards against holding back a request because connections were reset that had
// been idle, which says nothing about the request once it completes.
TEST(CrashGuardTest, ACompleteResponseEndsTheSuspicion) {
  crash_guard guard;
  guard.RecordLoss(kFingerprint, "a", kStart, loss_evidence::kPossible);
  guard.RecordCompleted(kFingerprint, kStart);
  EXPECT_FALSE(guard.IsSuspected(kFingerprint, kStart));
}

TEST(CrashGuardTest, HoldEndsByTimeoutOrByOperator) {
  crash_guard guard;
  guard.RecordLoss(kFingerprint, "a", kStart);
  guard.RecordLoss(kFingerprint, "b", kStart);
  const time_point later = kStart + std::chrono::minutes(10);
  EXPECT_FALSE(guard.HeldUntil(kFingerprint, later));
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "c", later))
      << "losses from before the hold still count";
  EXPECT_TRUE(guard.RecordLoss(kFingerprint, "d", later));
  EXPECT_TRUE(guard.Release(kFingerprint, later));
  EXPECT_FALSE(guard.HeldUntil(kFingerprint, later));
  EXPECT_FALSE(guard.Release(kFingerprint, later));
}

// Guards against holding back a harmless request because it was running on a
// target that another request crashed.
TEST(CrashGuardTest, ACompleteResponseClearsEarlierLosses) {
  crash_guard guard;
  guard.RecordLoss(kFingerprint, "a", kStart);
  guard.RecordCompleted(kFingerprint, kStart);
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "b", kStart));
}

// Guards against a hold on a frequent harmless request: it is running on every
// target that crashes for another reason.
TEST(CrashGuardTest, IgnoresLossesAfterARecentResponse) {
  crash_guard guard;
  guard.RecordCompleted(kFingerprint, kStart);
  const time_point soon = kStart + std::chrono::seconds(59);
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "a", soon));
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "b", soon));
  EXPECT_FALSE(guard.HeldUntil(kFingerprint, soon));
}

// Guards against a request that once completed but crashes targets now and is
// never held back.
TEST(CrashGuardTest, CountsLossesAfterAnOldResponse) {
  crash_guard guard;
  guard.RecordCompleted(kFingerprint, kStart);
  const time_point later = kStart + std::chrono::minutes(1);
  EXPECT_FALSE(guard.RecordLoss(kFingerprint, "a", later));
  EXPECT_TRUE(guard.RecordLoss(kFingerprint, "b", later));
}

// Guards against ignoring losses because of the response to another request
// that is stored at the same index.
TEST(CrashGuardTest, AResponseClearsOnlyItsOwnFingerprint) {
  crash_guard_options options;
  options.completion_capacity = 1;
  crash_guard guard(options);
  guard.RecordCompleted(kFingerprint + 1, kStart);
  guard.RecordLoss(kFingerprint, "a", kStart);
  EXPECT_TRUE(guard.RecordLoss(kFingerprint, "b", kStart));
}

// Guards against unbounded memory, and against the eviction of a hold by many
// fingerprints with a single loss.
TEST(CrashGuardTest, EvictionKeepsHeldFingerprints) {
  crash_guard_options options;
  options.capacity = 10;
  crash_guard guard(options);
  guard.RecordLoss(kFingerprint, "a", kStart);
  guard.RecordLoss(kFingerprint, "b", kStart);
  for (std::uint64_t other = 100; other < 200; ++other) {
    guard.RecordLoss(other, "a", kStart + std::chrono::seconds(other));
  }
  EXPECT_EQ(guard.size(), 10U);
  EXPECT_TRUE(guard.HeldUntil(kFingerprint, kStart + std::chrono::minutes(5)));
}

// Guards against a hold on all requests without a known fingerprint.
TEST(CrashGuardTest, IgnoresUnknownFingerprints) {
  crash_guard guard;
  EXPECT_FALSE(guard.RecordLoss(0, "a", kStart));
  EXPECT_FALSE(guard.RecordLoss(0, "b", kStart));
  EXPECT_EQ(guard.size(), 0U);
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/placement/evidence_board.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr evidence_board::target_key kTarget{"t", 100};

// Guards against excluding a target for good after one failure.
TEST(SuspicionTrackerTest, SuspicionDecaysWithTime) {
  evidence_board tracker;
  tracker.ObserveHere(kTarget, target_observation::kFailure, kStart);
  EXPECT_DOUBLE_EQ(tracker.Suspicion(kTarget, kStart), 1.0);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart + seconds(1)), 0.8);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart + seconds(20)), 0.01);
}

// Guards against suspicion that grows without limit with the number of
// failures and excludes a target long after it has recovered.
TEST(SuspicionTrackerTest, RepeatedFailuresExtendSuspicionUpToALimit) {
  evidence_board tracker;
  for (int failure = 0; failure < 100; ++failure) {
    tracker.ObserveHere(kTarget, target_observation::kFailure, kStart);
  }
  EXPECT_GT(tracker.Suspicion(kTarget, kStart + seconds(4)), 0.8);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart + seconds(6)), 0.8);
}

// Guards against successes that leave the suspicion unchanged.
TEST(SuspicionTrackerTest, SuccessReducesSuspicion) {
  evidence_board tracker;
  tracker.ObserveHere(kTarget, target_observation::kFailure, kStart);
  tracker.ObserveHere(kTarget, target_observation::kSuccess, kStart);
  EXPECT_DOUBLE_EQ(tracker.Suspicion(kTarget, kStart), 0.5);
}

// Guards against suspecting a restarted target for failures before its restart.
TEST(SuspicionTrackerTest, ANewIncarnationStartsWithoutSuspicion) {
  evidence_board tracker;
  tracker.ObserveHere(kTarget, target_observation::kFailure, kStart);
  EXPECT_EQ(tracker.Suspicion({"t", 200}, kStart), 0.0);
  tracker.ObserveHere({"t", 200}, target_observation::kRefused, kStart);
  EXPECT_LT(tracker.Suspicion({"t", 200}, kStart), 0.5);
}

// Guards against excluding a target because of another host's network path: a
// target that one host cannot reach may be healthy for all others.
TEST(SuspicionTrackerTest, ConnectionErrorsOfOtherHostsAloneDoNotExclude) {
  evidence_board tracker;
  tracker.ObserveElsewhere(kTarget, target_observation::kConnectFailed, kStart);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart), 0.8);
  tracker.ObserveElsewhere(kTarget, target_observation::kFailure, kStart);
  EXPECT_GE(tracker.Suspicion(kTarget, kStart), 0.8);
}

// Guards against excluding healthy targets for single slow requests: three in a
// hundred requests take seven times the usual time.
TEST(SuspicionTrackerTest, OneOverdueRequestDoesNotExclude) {
  evidence_board tracker;
  tracker.ObserveHere(kTarget, target_observation::kOverdue, kStart);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart), 0.8);
}

// Guards against losing the count of requests in flight when old records are
// removed.
TEST(SuspicionTrackerTest, ForgetKeepsTargetsWithRequests) {
  evidence_board tracker;
  tracker.BeginRequest("t");
  tracker.ObserveHere(kTarget, target_observation::kFailure, kStart);
  tracker.Forget(kStart + std::chrono::hours(1));
  EXPECT_EQ(tracker.InFlightRequests("t"), 1U);
  tracker.EndRequest("t");
  tracker.Forget(kStart + std::chrono::hours(1));
  EXPECT_EQ(tracker.InFlightRequests("t"), 0U);
}

// Guards against a host with few requests sending them to targets that other
// hosts of its zone already suspect.
TEST(SuspicionTrackerTest, MergesTheSuspicionOfAnotherHost) {
  evidence_board sender;
  for (int failure = 0; failure < 2; ++failure) {
    sender.ObserveHere({"bad", 1}, target_observation::kFailure, kStart);
  }
  sender.ObserveHere({"doubtful", 1}, target_observation::kFailure, kStart);
  sender.ObserveHere({"sound", 1}, target_observation::kSuccess, kStart);
  const std::vector<evidence_board::suspected_target> suspected =
      sender.MostSuspected(5, 0.3, kStart);
  ASSERT_EQ(suspected.size(), 2U);
  EXPECT_EQ(suspected[0].id, "bad");
  EXPECT_EQ(sender.MostSuspected(1, 0.3, kStart).size(), 1U);

  evidence_board receiver;
  for (const evidence_board::suspected_target& target : suspected) {
    receiver.LearnSuspicion({target.id, target.started_at_unix_ms},
                            target.suspicion, kStart);
  }
  EXPECT_EQ(receiver.Suspicion({"bad", 1}, kStart),
            sender.Suspicion({"bad", 1}, kStart));
  // Suspicion does not carry over to another incarnation of the target.
  EXPECT_EQ(receiver.Suspicion({"bad", 2}, kStart), 0.0);
}

// Guards against a report of another host that lowers the suspicion of a
// target.
TEST(SuspicionTrackerTest, KeepsItsOwnHigherSuspicion) {
  evidence_board tracker;
  tracker.ObserveHere({"t", 1}, target_observation::kFailure, kStart);
  tracker.LearnSuspicion({"t", 1}, 0.3, kStart);
  EXPECT_EQ(tracker.Suspicion({"t", 1}, kStart), 1.0);
}

}  // namespace
}  // namespace bulrushshore

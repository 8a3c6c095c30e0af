#include "libraries/placement/suspicion_tracker.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr suspicion_tracker::target_key kTarget{"t", 100};

// Guards against excluding a target for good after one failure.
TEST(SuspicionTrackerTest, SuspicionDecaysWithTime) {
  suspicion_tracker tracker;
  tracker.RecordLocalObservation(kTarget, target_observation::kFailure, kStart);
  EXPECT_DOUBLE_EQ(tracker.Suspicion(kTarget, kStart), 1.0);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart + seconds(1)), 0.8);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart + seconds(20)), 0.01);
}

// Guards against suspicion that grows without limit with the number of
// failures and excludes a target long after it has recovered.
TEST(SuspicionTrackerTest, RepeatedFailuresExtendSuspicionUpToALimit) {
  suspicion_tracker tracker;
  for (int failure = 0; failure < 100; ++failure) {
    tracker.RecordLocalObservation(kTarget, target_observation::kFailure,
                                   kStart);
  }
  EXPECT_GT(tracker.Suspicion(kTarget, kStart + seconds(4)), 0.8);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart + seconds(6)), 0.8);
}

// Guards against successes that leave the suspicion unchanged.
TEST(SuspicionTrackerTest, SuccessReducesSuspicion) {
  suspicion_tracker tracker;
  tracker.RecordLocalObservation(kTarget, target_observation::kFailure, kStart);
  tracker.RecordLocalObservation(kTarget, target_observation::kSuccess, kStart);
  EXPECT_DOUBLE_EQ(tracker.Suspicion(kTarget, kStart), 0.5);
}

// Guards against suspecting a restarted target for failures before its restart.
TEST(SuspicionTrackerTest, ANewIncarnationStartsWithoutSuspicion) {
  suspicion_tracker tracker;
  tracker.RecordLocalObservation(kTarget, target_observation::kFailure, kStart);
  EXPECT_EQ(tracker.Suspicion({"t", 200}, kStart), 0.0);
  tracker.RecordLocalObservation({"t", 200}, target_observation::kRefused,
                                 kStart);
  EXPECT_LT(tracker.Suspicion({"t", 200}, kStart), 0.5);
}

// Guards against excluding a target because of another host's network path: a
// target that one host cannot reach may be healthy for all others.
TEST(SuspicionTrackerTest, ConnectionErrorsOfOtherHostsAloneDoNotExclude) {
  suspicion_tracker tracker;
  tracker.RecordRemoteObservation(kTarget, target_observation::kConnectFailed,
                                  kStart);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart), 0.8);
  tracker.RecordRemoteObservation(kTarget, target_observation::kFailure,
                                  kStart);
  EXPECT_GE(tracker.Suspicion(kTarget, kStart), 0.8);
}

// Guards against excluding healthy targets for single slow requests: three in a
// hundred requests take seven times the usual time.
TEST(SuspicionTrackerTest, OneOverdueRequestDoesNotExclude) {
  suspicion_tracker tracker;
  tracker.RecordLocalObservation(kTarget, target_observation::kOverdue, kStart);
  EXPECT_LT(tracker.Suspicion(kTarget, kStart), 0.8);
}

// Guards against losing the count of requests in flight when old records are
// removed.
TEST(SuspicionTrackerTest, ForgetKeepsTargetsWithRequests) {
  suspicion_tracker tracker;
  tracker.BeginRequest("t");
  tracker.RecordLocalObservation(kTarget, target_observation::kFailure, kStart);
  tracker.Forget(kStart + std::chrono::hours(1));
  EXPECT_EQ(tracker.InFlightRequests("t"), 1U);
  tracker.EndRequest("t");
  tracker.Forget(kStart + std::chrono::hours(1));
  EXPECT_EQ(tracker.InFlightRequests("t"), 0U);
}

// Guards against a host with few requests sending them to targets that other
// hosts of its zone already suspect.
TEST(SuspicionTrackerTest, MergesTheSuspicionOfAnotherHost) {
  suspicion_tracker sender;
  for (int failure = 0; failure < 2; ++failure) {
    sender.RecordLocalObservation({"bad", 1}, target_observation::kFailure,
                                  kStart);
  }
  sender.RecordLocalObservation({"doubtful", 1}, target_observation::kFailure,
                                kStart);
  sender.RecordLocalObservation({"sound", 1}, target_observation::kSuccess,
                                kStart);
  const std::vector<suspicion_tracker::suspected_target> suspected =
      sender.MostSuspected(5, 0.3, kStart);
  ASSERT_EQ(suspected.size(), 2U);
  EXPECT_EQ(suspected[0].id, "bad");
  EXPECT_EQ(sender.MostSuspected(1, 0.3, kStart).size(), 1U);

  suspicion_tracker receiver;
  for (const suspicion_tracker::suspected_target& target : suspected) {
    receiver.MergeRemoteSuspicion({target.id, target.started_at_unix_ms},
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
  suspicion_tracker tracker;
  tracker.RecordLocalObservation({"t", 1}, target_observation::kFailure,
                                 kStart);
  tracker.MergeRemoteSuspicion({"t", 1}, 0.3, kStart);
  EXPECT_EQ(tracker.Suspicion({"t", 1}, kStart), 1.0);
}

}  // namespace
}  // namespace bulrushshore

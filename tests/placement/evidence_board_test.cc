#include "libraries/placement/evidence_board.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr evidence_board::target_key kTarget{"t", 100};

TEST(EvidenceBoardTest, SuspicionEndsByItself) {
  evidence_board board;
  board.ObserveHere(kTarget, target_observation::kFailure, kStart);
  EXPECT_DOUBLE_EQ(board.Suspicion(kTarget, kStart), 1.0);
  EXPECT_LT(board.Suspicion(kTarget, kStart + seconds(1)), 0.8);
  EXPECT_LT(board.Suspicion(kTarget, kStart + seconds(20)), 0.01);
}

TEST(EvidenceBoardTest, RepeatedFailuresCountLongerUpToABound) {
  evidence_board board;
  for (int failure = 0; failure < 100; ++failure) {
    board.ObserveHere(kTarget, target_observation::kFailure, kStart);
  }
  EXPECT_GT(board.Suspicion(kTarget, kStart + seconds(4)), 0.8);
  EXPECT_LT(board.Suspicion(kTarget, kStart + seconds(6)), 0.8);
}

TEST(EvidenceBoardTest, SuccessWeakensSuspicion) {
  evidence_board board;
  board.ObserveHere(kTarget, target_observation::kFailure, kStart);
  board.ObserveHere(kTarget, target_observation::kSuccess, kStart);
  EXPECT_DOUBLE_EQ(board.Suspicion(kTarget, kStart), 0.5);
}

TEST(EvidenceBoardTest, ANewIncarnationStartsWithoutSuspicion) {
  evidence_board board;
  board.ObserveHere(kTarget, target_observation::kFailure, kStart);
  EXPECT_EQ(board.Suspicion({"t", 200}, kStart), 0.0);
  board.ObserveHere({"t", 200}, target_observation::kRefused, kStart);
  EXPECT_LT(board.Suspicion({"t", 200}, kStart), 0.5);
}

// Guards against excluding a target because of another host's network path: a
// target that one host cannot reach may be healthy for all others.
TEST(EvidenceBoardTest, OtherHostsPathFaultsAloneDoNotExclude) {
  evidence_board board;
  board.ObserveElsewhere(kTarget, target_observation::kConnectFailed, kStart);
  EXPECT_LT(board.Suspicion(kTarget, kStart), 0.8);
  board.ObserveElsewhere(kTarget, target_observation::kFailure, kStart);
  EXPECT_GE(board.Suspicion(kTarget, kStart), 0.8);
}

// Guards against excluding healthy targets for single slow requests: three in a
// hundred requests take seven times the usual time.
TEST(EvidenceBoardTest, OneOverdueRequestDoesNotExclude) {
  evidence_board board;
  board.ObserveHere(kTarget, target_observation::kOverdue, kStart);
  EXPECT_LT(board.Suspicion(kTarget, kStart), 0.8);
}

TEST(EvidenceBoardTest, ForgetKeepsTargetsWithRequests) {
  evidence_board board;
  board.BeginRequest("t");
  board.ObserveHere(kTarget, target_observation::kFailure, kStart);
  board.Forget(kStart + std::chrono::hours(1));
  EXPECT_EQ(board.RequestsHeld("t"), 1U);
  board.EndRequest("t");
  board.Forget(kStart + std::chrono::hours(1));
  EXPECT_EQ(board.RequestsHeld("t"), 0U);
}

// Guards against a host with few requests sending them to targets that other
// hosts of its zone already suspect.
TEST(EvidenceBoardTest, LearnsTheSuspicionOfAnotherHost) {
  evidence_board teller;
  for (int failure = 0; failure < 2; ++failure) {
    teller.ObserveHere({"bad", 1}, target_observation::kFailure, kStart);
  }
  teller.ObserveHere({"doubtful", 1}, target_observation::kFailure, kStart);
  teller.ObserveHere({"sound", 1}, target_observation::kSuccess, kStart);
  const std::vector<evidence_board::suspected_target> suspected =
      teller.MostSuspected(5, 0.3, kStart);
  ASSERT_EQ(suspected.size(), 2U);
  EXPECT_EQ(suspected[0].id, "bad");
  EXPECT_EQ(teller.MostSuspected(1, 0.3, kStart).size(), 1U);

  evidence_board learner;
  for (const evidence_board::suspected_target& target : suspected) {
    learner.LearnSuspicion({target.id, target.started_at_unix_ms},
                           target.suspicion, kStart);
  }
  EXPECT_EQ(learner.Suspicion({"bad", 1}, kStart),
            teller.Suspicion({"bad", 1}, kStart));
  // Suspicion does not carry over to another incarnation of the target.
  EXPECT_EQ(learner.Suspicion({"bad", 2}, kStart), 0.0);
}

TEST(EvidenceBoardTest, AStrongerSuspicionOfItsOwnStays) {
  evidence_board board;
  board.ObserveHere({"t", 1}, target_observation::kFailure, kStart);
  board.LearnSuspicion({"t", 1}, 0.3, kStart);
  EXPECT_EQ(board.Suspicion({"t", 1}, kStart), 1.0);
}

}  // namespace
}  // namespace bulrushshore

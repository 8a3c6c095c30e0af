#include "libraries/gateway/target_answer.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

const gateway_header_names kNames{"X-Attempt", "X-Deadline", "X-Signature",
                                  "X-Expected", "X-Not-Executed"};

proxy_response MakeAnswer(int status,
                          std::initializer_list<http_header> headers) {
  proxy_response response;
  response.status = status;
  for (const http_header& header : headers) {
    response.headers.Add(header.name, header.value);
  }
  return response;
}

TEST(TargetAnswerTest, AGenuineSuccessIsDelivered) {
  const answer_verdict verdict = JudgeAnswer(
      MakeAnswer(200, {{"X-Attempt", "1"}, {"X-Signature", "s"}}), kNames, "1");
  EXPECT_EQ(verdict.end, attempt_end::kAnswered);
}

// A success without proof of its origin may be another process's answer.
TEST(TargetAnswerTest, ASuccessWithoutProofIsNoAnswer) {
  for (const proxy_response& answer :
       {MakeAnswer(200, {{"X-Attempt", "1"}}),
        MakeAnswer(200, {{"X-Signature", "s"}})}) {
    const answer_verdict verdict = JudgeAnswer(answer, kNames, "1");
    EXPECT_EQ(verdict.end, attempt_end::kUnknown);
    EXPECT_TRUE(verdict.is_malformed);
  }
}

// The caller would read these statuses as "not run", which only the target can
// promise.
TEST(TargetAnswerTest, AStatusThatPromisesNotRunNeedsTheTargetsStatement) {
  for (const int status : {408, 429, 503}) {
    EXPECT_EQ(JudgeAnswer(MakeAnswer(status, {}), kNames, "1").end,
              attempt_end::kUnknown);
    EXPECT_EQ(
        JudgeAnswer(MakeAnswer(status, {{"X-Not-Executed", "1"}}), kNames, "1")
            .end,
        attempt_end::kNotExecuted);
  }
}

TEST(TargetAnswerTest, AMisdirectedRequestHasNotRun) {
  const answer_verdict verdict = JudgeAnswer(MakeAnswer(421, {}), kNames, "1");
  EXPECT_EQ(verdict.end, attempt_end::kNotExecuted);
  EXPECT_TRUE(verdict.is_other_target);
}

TEST(TargetAnswerTest, ErrorsOfTheTargetHaveRun) {
  EXPECT_EQ(JudgeAnswer(MakeAnswer(500, {}), kNames, "1").end,
            attempt_end::kErrorAnswer);
  EXPECT_EQ(JudgeAnswer(MakeAnswer(404, {}), kNames, "1").end,
            attempt_end::kAnswered);
}

TEST(TargetAnswerTest, RecognisesAnswersToOtherRequests) {
  EXPECT_FALSE(
      BelongsToAttempt(MakeAnswer(200, {{"X-Attempt", "2"}}), kNames, "1"));
  EXPECT_TRUE(BelongsToAttempt(MakeAnswer(400, {}), kNames, "1"));
}

}  // namespace
}  // namespace bulrushshore

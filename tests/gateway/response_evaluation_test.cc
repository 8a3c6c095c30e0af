#include "libraries/gateway/response_evaluation.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

const gateway_header_names kNames{"X-Attempt",  "X-Deadline",     "X-Signature",
                                  "X-Expected", "X-Not-Executed", "X-Leaving"};

proxy_response MakeResponse(int status,
                            std::initializer_list<http_header> headers) {
  proxy_response response;
  response.status = status;
  for (const http_header& header : headers) {
    response.headers.Add(header.name, header.value);
  }
  return response;
}

TEST(ResponseEvaluationTest, AcceptsSuccessWithSignatureAndAttemptId) {
  const response_evaluation evaluation = EvaluateResponse(
      MakeResponse(200, {{"X-Attempt", "1"}, {"X-Signature", "s"}}), kNames,
      "1", false);
  EXPECT_EQ(evaluation.end, attempt_end::kAnswered);
}

// Guards against delivering a success that another process sent: without
// signature or attempt id, the origin is unknown.
TEST(ResponseEvaluationTest, RejectsSuccessWithoutSignatureOrAttemptId) {
  for (const proxy_response& response :
       {MakeResponse(200, {{"X-Attempt", "1"}}),
        MakeResponse(200, {{"X-Signature", "s"}})}) {
    const response_evaluation evaluation =
        EvaluateResponse(response, kNames, "1", false);
    EXPECT_EQ(evaluation.end, attempt_end::kUnknown);
    EXPECT_TRUE(evaluation.is_malformed);
  }
}

// Guards against responses that clear a request of the suspicion that it
// crashes targets although they do not show that a target has run it.
TEST(ResponseEvaluationTest, OnlyAGenuineResponseBelow500ProvesCompletion) {
  const http_header id{"X-Attempt", "1"};
  const http_header signature{"X-Signature", "s"};
  for (const int status : {200, 204, 302, 404}) {
    EXPECT_TRUE(EvaluateResponse(MakeResponse(status, {id, signature}), kNames,
                                 "1", false)
                    .proves_completion)
        << status;
    EXPECT_FALSE(
        EvaluateResponse(MakeResponse(status, {id}), kNames, "1", false)
            .proves_completion)
        << status;
    EXPECT_FALSE(
        EvaluateResponse(MakeResponse(status, {signature}), kNames, "1", false)
            .proves_completion)
        << status;
    EXPECT_FALSE(
        EvaluateResponse(
            MakeResponse(status, {id, signature, {"X-Not-Executed", "1"}}),
            kNames, "1", false)
            .proves_completion)
        << status;
  }
  for (const int status : {408, 421, 429, 500, 502, 503, 504}) {
    EXPECT_FALSE(EvaluateResponse(MakeResponse(status, {id, signature}), kNames,
                                  "1", false)
                     .proves_completion)
        << status;
  }
}

// Guards against telling the caller that a request did not run without a
// statement of the target: these statuses alone are no proof.
TEST(ResponseEvaluationTest, NotExecutedStatusRequiresHeader) {
  for (const int status : {408, 429, 503}) {
    EXPECT_EQ(
        EvaluateResponse(MakeResponse(status, {}), kNames, "1", false).end,
        attempt_end::kUnknown);
    EXPECT_EQ(EvaluateResponse(MakeResponse(status, {{"X-Not-Executed", "1"}}),
                               kNames, "1", false)
                  .end,
              attempt_end::kNotExecuted);
  }
}

TEST(ResponseEvaluationTest, MisdirectedRequestHasNotRun) {
  const response_evaluation evaluation =
      EvaluateResponse(MakeResponse(421, {}), kNames, "1", false);
  EXPECT_EQ(evaluation.end, attempt_end::kWrongTarget);
}

// Guards against a late response to an earlier request on the connection being
// taken for the response to this one.
TEST(ResponseEvaluationTest, AReusedConnectionRequiresTheAttemptId) {
  const proxy_response refusal = MakeResponse(503, {{"X-Not-Executed", "1"}});
  EXPECT_EQ(EvaluateResponse(refusal, kNames, "1", true).end,
            attempt_end::kUnknown);
  EXPECT_EQ(EvaluateResponse(MakeResponse(500, {}), kNames, "1", true).end,
            attempt_end::kUnknown);
  EXPECT_EQ(EvaluateResponse(MakeResponse(421, {}), kNames, "1", true).end,
            attempt_end::kUnknown);
  const proxy_response own =
      MakeResponse(503, {{"X-Not-Executed", "1"}, {"X-Attempt", "1"}});
  EXPECT_EQ(EvaluateResponse(own, kNames, "1", true).end,
            attempt_end::kNotExecuted);
}

TEST(ResponseEvaluationTest, OnlyServerErrorIsErrorResponse) {
  EXPECT_EQ(EvaluateResponse(MakeResponse(500, {}), kNames, "1", false).end,
            attempt_end::kErrorResponse);
  EXPECT_EQ(EvaluateResponse(MakeResponse(404, {}), kNames, "1", false).end,
            attempt_end::kAnswered);
}

TEST(ResponseEvaluationTest, RecognisesResponsesToOtherAttempts) {
  EXPECT_FALSE(
      BelongsToAttempt(MakeResponse(200, {{"X-Attempt", "2"}}), kNames, "1"));
  EXPECT_TRUE(BelongsToAttempt(MakeResponse(400, {}), kNames, "1"));
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/idempotency/key_answers.h"

namespace bulrushshore {

key_answer ToFinalAnswer(claim_decision decision) {
  switch (decision) {
    case claim_decision::kRun:
      return key_answer::kRun;
    case claim_decision::kStoredResponse:
      return key_answer::kStoredResponse;
    case claim_decision::kResponseNotKept:
      return key_answer::kResponseNotKept;
    case claim_decision::kExpired:
      return key_answer::kExpired;
    case claim_decision::kSealed:
      return key_answer::kSealed;
    case claim_decision::kTableFull:
      return key_answer::kTableFull;
    case claim_decision::kNotOwner:
      return key_answer::kNotOwner;
    case claim_decision::kNotIssued:
      return key_answer::kNotIssued;
    case claim_decision::kDifferentRequest:
      return key_answer::kDifferentRequest;
    case claim_decision::kWait:
    case claim_decision::kOutcomeUnknown:
      break;
  }
  return key_answer::kOutcomeUnknown;
}

key_claim_answer AnswerForWaiting(const end_message& message) {
  switch (message.result) {
    case attempt_end::kAnswered:
      return {key_answer::kStoredResponse, message.response};
    case attempt_end::kNotStarted:
      return {key_answer::kFirstAttemptNotStarted, nullptr};
    case attempt_end::kUnknown:
      break;
  }
  return {key_answer::kOutcomeUnknown, nullptr};
}

}  // namespace bulrushshore

#ifndef LIBRARIES_IDEMPOTENCY_KEY_ANSWERS_H_
#define LIBRARIES_IDEMPOTENCY_KEY_ANSWERS_H_

#include "libraries/idempotency/key_owner_messages.h"

namespace bulrushshore {

// Returns the answer to a claim that does not wait. Thread safe.
key_answer ToFinalAnswer(claim_decision decision);

// Returns the answer to claims that wait for the attempt that `message` ends.
// It is taken from the message, since the table may have dropped the entry or
// its response. Thread safe.
key_claim_answer AnswerForWaiting(const end_message& message);

}  // namespace bulrushshore

#endif  // LIBRARIES_IDEMPOTENCY_KEY_ANSWERS_H_

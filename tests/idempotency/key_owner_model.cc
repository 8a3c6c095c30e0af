#include "tests/idempotency/key_owner_model.h"

#include <utility>

#include "libraries/idempotency/key_answers.h"

namespace bulrushshore {
key_owner_model::key_owner_model(const idempotency_limits& limits,
                                 std::string incarnation,
                                 time_point start)
    : table_(limits, std::move(incarnation), start) {}

std::optional<key_claim_answer> key_owner_model::Claim(
    const idempotency_key& key,
    std::size_t request,
    time_point now) {
  const claim decided = table_.Claim(key, kFingerprint, now);
  if (decided.decision == claim_decision::kWait) {
    waiting_.push_back({request, key});
    return std::nullopt;
  }
  return key_claim_answer{ToFinalAnswer(decided.decision), decided.response};
}

std::vector<late_answer> key_owner_model::End(const end_message& message) {
  switch (message.result) {
    case attempt_end::kAnswered:
      table_.Complete(message.key, message.response);
      break;
    case attempt_end::kUnknown:
      table_.CompleteUnknown(message.key);
      break;
    case attempt_end::kNotStarted:
      table_.Abandon(message.key);
      break;
  }
  std::vector<late_answer> answers;
  std::erase_if(waiting_, [&](const waiting_request& waiting) {
    if (waiting.key != message.key) {
      return false;
    }
    answers.push_back({waiting.request, AnswerForWaiting(message)});
    return true;
  });
  return answers;
}

std::vector<late_answer> key_owner_model::ReachDeadline() {
  std::vector<late_answer> answers;
  for (const waiting_request& waiting : waiting_) {
    answers.push_back({waiting.request, {key_answer::kWaitTimeout, nullptr}});
  }
  waiting_.clear();
  return answers;
}

void key_owner_model::Withdraw(std::size_t request) {
  std::erase_if(waiting_, [request](const waiting_request& waiting) {
    return waiting.request == request;
  });
}

handover key_owner_model::SealAndExport(time_point now) {
  table_.Seal();
  return table_.Export(now);
}

status key_owner_model::Import(const handover& received, time_point now) {
  return table_.Import(received, now);
}

std::string key_owner_model::Signature(std::span<const idempotency_key> keys,
                                       time_point now) const {
  std::string signature(1, table_.is_sealed() ? 's' : 'o');
  for (const std::string& incarnation : table_.Incarnations()) {
    signature += incarnation.back();
  }
  signature += ':';
  idempotency_table probed = table_;
  for (const idempotency_key& key : keys) {
    const claim decided = probed.Claim(key, kFingerprint, now);
    signature += static_cast<char>('a' + static_cast<int>(decided.decision));
    if (decided.response != nullptr) {
      signature += decided.response->body;
    }
  }
  // A probe that runs a key takes room in a bounded table.
  signature += std::to_string(table_.entry_count());
  for (const waiting_request& waiting : waiting_) {
    signature += 'w' + std::to_string(waiting.request);
  }
  return signature;
}

}  // namespace bulrushshore

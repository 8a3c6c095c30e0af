#ifndef TESTS_IDEMPOTENCY_KEY_OWNER_MODEL_H_
#define TESTS_IDEMPOTENCY_KEY_OWNER_MODEL_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/idempotency/idempotency_table.h"
#include "libraries/idempotency/key_owner.h"
#include "libraries/idempotency/key_owner_messages.h"

namespace bulrushshore {

// An answer to a claim that had to wait.
struct late_answer {
  // The number that the claim had in Claim().
  std::size_t request = 0;
  key_claim_answer answer;
};

// The decisions of key_owner without its actor, so that an exploration can copy
// them: the real idempotency_table and a list of the claims that wait.
// ownership_exploration_test compares it with the real key_owner over all
// orders of messages. Not thread safe.
class key_owner_model {
 public:
  key_owner_model(const idempotency_limits& limits,
                  std::string incarnation,
                  time_point start);

  // Returns the answer, or nothing if the claim waits for a running attempt.
  std::optional<key_claim_answer> Claim(const idempotency_key& key,
                                        std::size_t request,
                                        time_point now);

  // Ends an attempt; returns the answers to the claims that waited for it.
  std::vector<late_answer> End(const end_message& message);

  // All waiting claims reach their deadline.
  std::vector<late_answer> ReachDeadline();

  // A waiting claim goes away without an answer.
  void Withdraw(std::size_t request);

  handover SealAndExport(time_point now);
  status Import(const handover& received, time_point now);

  // Returns what claims for `keys` would be told, the incarnations and whether
  // the table is sealed: models that agree in this behave alike.
  std::string Signature(std::span<const idempotency_key> keys,
                        time_point now) const;

  static constexpr std::uint64_t kFingerprint = 1;

 private:
  struct waiting_request {
    std::size_t request = 0;
    idempotency_key key;
  };

  idempotency_table table_;
  std::vector<waiting_request> waiting_;
};

}  // namespace bulrushshore

#endif  // TESTS_IDEMPOTENCY_KEY_OWNER_MODEL_H_

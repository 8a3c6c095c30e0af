#ifndef LIBRARIES_IDEMPOTENCY_KEY_OWNER_H_
#define LIBRARIES_IDEMPOTENCY_KEY_OWNER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/idempotency/idempotency_table.h"

namespace bulrushshore {

// The final answer to a claim, after waiting for a running attempt.
enum class key_answer {
  // The caller runs the request and ends the attempt.
  kRun,
  kStoredResponse,
  kResponseNotKept,
  kOutcomeUnknown,
  // The attempt that was waited for provably did not start.
  kFirstAttemptNotStarted,
  // The attempt that was waited for was still running at the deadline.
  kWaitTimeout,
  kExpired,
  kSealed,
  kTableFull,
  kNotOwner,
  kNotIssued,
  kDifferentRequest,
};

struct key_claim_answer {
  key_answer answer = key_answer::kOutcomeUnknown;
  // Set for kStoredResponse only.
  std::shared_ptr<const stored_response> response;
};

// A claim as the owning actor receives it.
struct claim_message {
  idempotency_key key;
  std::uint64_t fingerprint = 0;
  time_point deadline;
};

// Serves an idempotency_table to HTTP threads. A CAF actor owns the table.
// All methods are thread safe; they must not be called from an actor of the
// same system, because some of them block.
class key_owner {
 public:
  // The table uses the clock of `system`. Precondition: `system` outlives this
  // object.
  key_owner(caf::actor_system& system,
            idempotency_limits limits,
            std::string incarnation);
  ~key_owner();

  key_owner(const key_owner&) = delete;
  key_owner& operator=(const key_owner&) = delete;

  // Claims a key; blocks until the answer is final, at most until the
  // deadline. After kRun the caller must call Complete(), CompleteUnknown() or
  // Abandon() exactly once.
  key_claim_answer Claim(const claim_message& message);

  // Ends an attempt and answers everyone who waits for it. Does not block.
  void Complete(const idempotency_key& key, stored_response response);
  void CompleteUnknown(const idempotency_key& key);
  void Abandon(const idempotency_key& key);

  // Returns the current generation of the own incarnation. Blocks briefly.
  std::uint64_t Generation();

  // Returns the incarnations that this process answers for. Blocks briefly.
  std::vector<std::string> Incarnations();

  // Seals the table and returns its entries. Blocks briefly.
  handover SealAndExport();

  // Takes over the keys of another host; errors as of
  // idempotency_table::Import(). Blocks briefly.
  status Import(handover received);

  // The actor itself, for tests that run it on a test scheduler.
  const caf::actor& actor() const { return actor_; }

 private:
  caf::actor_system& system_;
  caf::actor actor_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_IDEMPOTENCY_KEY_OWNER_H_

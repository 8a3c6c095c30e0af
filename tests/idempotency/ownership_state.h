#ifndef TESTS_IDEMPOTENCY_OWNERSHIP_STATE_H_
#define TESTS_IDEMPOTENCY_OWNERSHIP_STATE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/idempotency/idempotency_key.h"
#include "tests/idempotency/key_owner_model.h"

namespace bulrushshore {

// A mechanism of the at-most-once design that an exploration can do without,
// to show that it would notice.
enum class left_out_mechanism {
  kNone,
  // A restarted host takes keys of its older incarnations as fresh ones.
  kIncarnationOwnership,
  // The hand-over leaves out the keys whose attempt was running.
  kRunningKeysInHandover,
  // The owner runs keys after it has exported its table.
  kSealBeforeExport,
  // A hand-over is taken by whichever process runs at the successor's address.
  kSuccessorIncarnation,
  // Claims of foreign keys overwrite each other.
  kConditionalCreate,
};

// A key that callers use.
struct explored_key {
  bool is_foreign = false;
  // Host whose first process issued the key; unused for foreign keys.
  std::size_t host = 0;
};

// What a scenario allows to happen.
struct ownership_scenario {
  std::size_t hosts = 2;
  std::vector<explored_key> keys = {{}};
  // Requests that the caller may send, by the index of their key.
  std::vector<std::size_t> requests = {0, 0};
  std::size_t max_restarts = 1;
  std::size_t max_crashes = 1;
  std::size_t max_graceful_stops = 1;
  std::size_t max_pauses = 0;
  std::size_t max_copied_handovers = 1;
  std::size_t max_table_entries = 100;
  std::size_t max_depth = 100;
  left_out_mechanism left_out = left_out_mechanism::kNone;
};

enum class request_stage {
  kUnsent,
  // On its way to a host.
  kTravelling,
  // At a process that does not own its key and looks for the owner.
  kLooksForOwner,
  // Allowed to run; nothing was sent to a target.
  kAllowed,
  // At least a byte was sent to a target.
  kSent,
  // Waits for another attempt with its key.
  kWaiting,
  kDone,
};

enum class target_stage { kIdle, kArriving, kStarted };

struct explored_request {
  request_stage stage = request_stage::kUnsent;
  target_stage target = target_stage::kIdle;
  // Destination while travelling.
  std::size_t host = 0;
  // The process that has it, from kLooksForOwner on.
  std::size_t process = 0;
  bool is_forwarded = false;
  // The process that forwarded it.
  std::size_t origin = 0;
  // The caller still waits for an answer.
  bool has_caller = true;
  // The incarnation that a foreign key is bound to, as far as the process
  // that has the request knows.
  std::optional<std::size_t> bound_process;
};

// One process run of a host; its index gives its incarnation.
struct explored_process {
  std::size_t host = 0;
  bool is_gone = false;
  bool is_paused = false;
  bool is_leaving = false;
  // Shared between states; replaced when it changes.
  std::shared_ptr<const key_owner_model> owner;
  std::string signature;
};

// A key table on its way.
struct explored_transfer {
  std::size_t host = 0;
  // The process that was chosen as successor.
  std::size_t successor = 0;
  std::size_t incarnation = 0;
  std::shared_ptr<const std::vector<std::string>> parts;
};

struct ownership_state {
  std::vector<explored_process> processes;
  std::vector<explored_request> requests;
  std::vector<explored_transfer> transfers;
  // By key.
  std::vector<std::size_t> starts;
  std::vector<std::string> first_answers;
  // By incarnation: hosts that said at some time that they answer for it.
  std::vector<std::vector<bool>> announced;
  // The object that binds the foreign key.
  std::optional<std::string> claim_object;
  std::size_t restarts = 0;
  std::size_t crashes = 0;
  std::size_t graceful_stops = 0;
  std::size_t pauses = 0;
  std::size_t copied_handovers = 0;
  // The first violated invariant; empty if none.
  std::string violation;

  // States with equal signatures have the same future.
  std::string Signature() const;
};

// Returns the incarnation of the process with this index, 16 hexadecimal
// digits.
std::string IncarnationOfProcess(std::size_t process);

// Returns the process whose incarnation this is.
std::size_t ProcessOfIncarnation(const std::string& incarnation);

}  // namespace bulrushshore

#endif  // TESTS_IDEMPOTENCY_OWNERSHIP_STATE_H_

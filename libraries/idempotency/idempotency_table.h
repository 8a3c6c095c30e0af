#ifndef LIBRARIES_IDEMPOTENCY_IDEMPOTENCY_TABLE_H_
#define LIBRARIES_IDEMPOTENCY_IDEMPOTENCY_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/idempotency/handover.h"
#include "libraries/idempotency/idempotency_key.h"

namespace bulrushshore {

// What to do with a request that carries a key.
enum class claim_decision {
  // The key has never run; the caller of Claim() runs it now and must end the
  // attempt with Complete(), CompleteUnknown() or Abandon().
  kRun,
  // Another attempt of the key is running.
  kWait,
  // The key ran and its response is at hand.
  kStoredResponse,
  // The key ran; its response did not fit into the table.
  kResponseNotKept,
  // An attempt started and its outcome could not be determined.
  kOutcomeUnknown,
  // The generation is no longer retained.
  kExpired,
  // The table was sealed; the key is not in it and its successor may run it.
  kSealed,
  // The key has not run and there is no room for it.
  kTableFull,
  // The incarnation is not one that this table answers for.
  kNotOwner,
  // The generation lies in the future, so no key of it was ever issued.
  kNotIssued,
  // The key was used before with a different request.
  kDifferentRequest,
};

struct claim {
  claim_decision decision = claim_decision::kNotOwner;
  // Set for kStoredResponse only.
  std::shared_ptr<const stored_response> response;
};

struct idempotency_limits {
  std::size_t max_entries = 100'000;
  // Sum over all stored responses, headers included.
  std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
  // A larger response is not stored, so that every entry fits into one part
  // of a hand-over.
  std::size_t max_single_response_bytes = std::size_t{512} * 1024;
  std::uint64_t retained_generations = 30;
  duration generation_length = std::chrono::seconds(60);
};

// The keys that one host incarnation owns, and those that it inherited. A key
// is started at most once: entries of retained generations are never evicted,
// so a key that is absent has never run. Pure: no I/O, no clock, no locks. Not
// thread safe.
class idempotency_table {
 public:
  // `start` is the time at which generation 0 of `incarnation` begins.
  idempotency_table(idempotency_limits limits,
                    std::string incarnation,
                    time_point start);

  // Decides on a request with `key`. `fingerprint` identifies the request's
  // method, path and body.
  claim Claim(const idempotency_key& key,
              std::uint64_t fingerprint,
              time_point now);

  // Ends a running attempt with its response. No effect if the key is not
  // running, as when its generation expired. Precondition: `response` is set.
  void Complete(const idempotency_key& key,
                std::shared_ptr<const stored_response> response);

  // Ends a running attempt that may have started with an unknown outcome.
  void CompleteUnknown(const idempotency_key& key);

  // Ends a running attempt that provably did not start; the key is absent
  // again. In a sealed table the entry stays and becomes unknown, because the
  // hand-over may have been written already.
  void Abandon(const idempotency_key& key);

  // Stops the table from starting any key, for good.
  void Seal();

  bool is_sealed() const { return is_sealed_; }

  // Returns all retained entries; running ones become kUnknown there.
  // Precondition: is_sealed().
  handover Export(time_point now);

  // Takes over the incarnations of another host. kUnavailable if this table is
  // sealed, kConflict if it already answers for one of them,
  // kResourceExhausted if the entries do not fit; nothing is taken over then.
  // Responses that do not fit are dropped, their entries are kept.
  status Import(const handover& received, time_point now);

  // Returns the current generation of the own incarnation.
  std::uint64_t Generation(time_point now) const;

  // Returns the own incarnation and the inherited ones, ordered.
  std::vector<std::string> Incarnations() const;

  std::size_t entry_count() const { return entry_count_; }
  std::size_t response_bytes() const { return response_bytes_; }

 private:
  struct entry {
    key_state state = key_state::kRunning;
    std::uint64_t fingerprint = 0;
    std::shared_ptr<const stored_response> response;
  };
  using entries_by_caller_part = std::unordered_map<std::string, entry>;

  struct incarnation_entries {
    // Time at which generation 0 began, on this process's clock.
    time_point start;
    // Keys above it were never issued, since a successor issues none.
    std::uint64_t last_issued_generation = UINT64_MAX;
    std::map<std::uint64_t, entries_by_caller_part> generations;
  };

  std::uint64_t GenerationOf(const incarnation_entries& incarnation,
                             time_point now) const;
  bool IsRetained(std::uint64_t generation, std::uint64_t current) const;
  void DropExpired(time_point now);
  claim ClaimExisting(const entry& found, std::uint64_t fingerprint) const;
  entry* FindRunning(const idempotency_key& key);
  void StoreResponse(entry& ended,
                     std::shared_ptr<const stored_response> response);
  void ImportIncarnation(const incarnation_export& received, time_point now);

  const idempotency_limits limits_;
  const std::string own_incarnation_;
  std::map<std::string, incarnation_entries, std::less<>> incarnations_;
  std::size_t entry_count_ = 0;
  std::size_t response_bytes_ = 0;
  bool is_sealed_ = false;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_IDEMPOTENCY_IDEMPOTENCY_TABLE_H_

#ifndef LIBRARIES_PROXY_KEY_CLAIMS_H_
#define LIBRARIES_PROXY_KEY_CLAIMS_H_

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/idempotency/idempotency_key.h"
#include "libraries/membership/host_directory.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

// Binds idempotency keys in foreign formats to the incarnation that may run
// them.
class key_claims {
 public:
  virtual ~key_claims() = default;

  // Returns the key in the own format that stands for `foreign_key`. If it was
  // not bound before, it is bound to the incarnation and generation of
  // `candidate`, whose caller part is ignored. kUnavailable if the binding
  // cannot be determined, kResourceExhausted if the write budget is used up;
  // the caller must not run the request then. Blocks. Thread safe.
  virtual result<idempotency_key> Claim(std::string_view foreign_key,
                                        const idempotency_key& candidate) = 0;
};

struct key_claims_options {
  // Writes of all hosts together; a third of the 300 that the store sustains at
  // the least. Each host takes an equal share.
  double fleet_writes_per_second = 100.0;
  // Bounds a host that knows few others, for example just after its start.
  double maximum_writes_per_second = 10.0;
  // Unused writes of this long are kept for later, and at least one.
  duration saved_time = std::chrono::seconds(2);
};

// Returns the writes per second of one host of a fleet of `hosts`.
// Precondition: `hosts` > 0. Thread safe.
double ClaimWritesPerSecond(const key_claims_options& options,
                            std::size_t hosts);

// Keeps the bindings as objects "claims/<SHA-256 of the key>" that are created
// conditionally, so that exactly one incarnation wins. The hosts of `directory`
// that are not lost share the write budget. Thread safe.
//
// FIXME: Nothing removes claims. They may be removed only when no caller sends
// their keys any more, since a removed key could be bound and run again.
class object_store_key_claims : public key_claims {
 public:
  // Preconditions: the references outlive this object.
  object_store_key_claims(object_store& store,
                          const clock& source,
                          const host_directory& directory,
                          const key_claims_options& options);

  result<idempotency_key> Claim(std::string_view foreign_key,
                                const idempotency_key& candidate) override;

 private:
  result<idempotency_key> Read(const std::string& object_key,
                               const std::string& caller_part);
  bool TakeWrite();
  // Counts the hosts again if that was done long ago. Needs the lock.
  void UpdateShare(time_point now);

  object_store& store_;
  const clock& clock_;
  const host_directory& directory_;
  const key_claims_options options_;
  std::mutex mutex_;
  double writes_per_second_ = 0.0;
  std::optional<time_point> last_count_;
  double saved_writes_ = 1.0;
  time_point last_refill_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_KEY_CLAIMS_H_

#ifndef LIBRARIES_PROXY_KEY_CLAIMS_H_
#define LIBRARIES_PROXY_KEY_CLAIMS_H_

#include <mutex>
#include <string_view>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/idempotency/idempotency_key.h"
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
  // Share of this host in the fleet's budget of 100 writes/s.
  // FIXME: Derive it from the number of live hosts; 1.5 keeps 63 hosts below
  // the budget, but not 600.
  double writes_per_second = 1.5;
  double write_burst = 10.0;
};

// Keeps the bindings as objects "claims/<SHA-256 of the key>" that are created
// conditionally, so that exactly one incarnation wins. Thread safe.
//
// FIXME: Nothing removes claims. They may be removed only when no caller sends
// their keys any more, since a removed key could be bound and run again.
class object_store_key_claims : public key_claims {
 public:
  // Preconditions: the references outlive this object.
  object_store_key_claims(object_store& store,
                          const clock& source,
                          const key_claims_options& options);

  result<idempotency_key> Claim(std::string_view foreign_key,
                                const idempotency_key& candidate) override;

 private:
  result<idempotency_key> Read(const std::string& object_key,
                               const std::string& caller_part);
  bool TakeWrite();

  object_store& store_;
  const clock& clock_;
  const key_claims_options options_;
  std::mutex mutex_;
  double saved_writes_;
  time_point last_refill_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_KEY_CLAIMS_H_

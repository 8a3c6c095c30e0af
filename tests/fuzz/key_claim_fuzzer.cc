#include <chrono>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/proxy/key_claims.h"
#include "libraries/store/in_memory_object_store.h"
#include "tests/fuzz/fuzz_input.h"
#include "tests/proxy/fakes.h"

// A claim object of any content: the key is never bound to the candidate, and
// what is returned has a valid spelling.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  in_memory_object_store store;
  manual_clock time;
  const fake_directory directory{host_record()};
  object_store_key_claims claims(store, time, directory, {});
  const idempotency_key candidate{"host-a", "00000000000000aa", 1, ""};
  Require(IsOk(claims.Claim("payment-1", candidate)), "a new key is bound");
  const result<std::vector<std::string>> keys = store.List("claims/", 1);
  const std::string& key = ValueOf(keys).front();
  const std::uint64_t version = ValueOf(store.Get(key)).version;
  Require(IsOk(store.Put(key, FuzzText(data, size), version)),
          "the claim is replaced");
  // Refills the write budget, which would refuse the second claim otherwise.
  time.Advance(std::chrono::seconds(2));
  const result<idempotency_key> bound =
      claims.Claim("payment-1", {"host-b", "00000000000000bb", 2, ""});
  if (!IsOk(bound)) {
    return 0;
  }
  const result<idempotency_key> parsed =
      ParseIdempotencyKey(FormatIdempotencyKey(ValueOf(bound)));
  Require(IsOk(parsed) && ValueOf(parsed) == ValueOf(bound),
          "a bound key is a valid one");
  return 0;
}

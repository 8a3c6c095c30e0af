#ifndef LIBRARIES_PROXY_KEYED_RUNNER_H_
#define LIBRARIES_PROXY_KEYED_RUNNER_H_

#include <string>
#include <string_view>

#include "libraries/base/result.h"
#include "libraries/idempotency/key_owner.h"
#include "libraries/membership/host_directory.h"
#include "libraries/proxy/attempt_runner.h"
#include "libraries/proxy/key_claims.h"
#include "libraries/proxy/target_client.h"

namespace bulrushshore {

// Runs non-idempotent work with a key at most once: through the table of this
// host or by forwarding the request to the host that owns the key. Thread safe.
class keyed_runner {
 public:
  struct collaborators {
    key_owner& keys;
    key_claims& claims;
    const host_directory& directory;
    attempt_runner& attempts;
    target_client& client;
  };

  struct keyed_request {
    // Value of Idempotency-Key.
    std::string key;
    // The request comes from another host and is not forwarded again.
    bool is_forwarded = false;
    work to_run;
    // As received from the caller; what the owner of the key receives.
    proxy_request received;
  };

  struct keyed_result {
    work_result result;
    // Another host produced the response; its X-Outcome headers stand.
    bool is_from_owner = false;
    // The response is that of an earlier attempt.
    bool is_stored = false;
  };

  explicit keyed_runner(const collaborators& parts);

  // Blocks until the outcome is certain, at most until the deadline.
  keyed_result Run(const keyed_request& request);

 private:
  std::variant<idempotency_key, failure_point> ResolveKey(
      const keyed_request& request);
  work_result RunOwned(const idempotency_key& key, const work& to_run);
  keyed_result Forward(const idempotency_key& key,
                       const keyed_request& request,
                       failure_point without_owner);

  const collaborators parts_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_KEYED_RUNNER_H_

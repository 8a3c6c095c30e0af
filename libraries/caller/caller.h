#ifndef LIBRARIES_CALLER_CALLER_H_
#define LIBRARIES_CALLER_CALLER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/caller/caller_transport.h"
#include "libraries/caller/discovery_cache.h"
#include "libraries/caller/idempotency_key.h"
#include "libraries/caller/outcome.h"

namespace bulrushshore {

// When a request may be sent again.
enum class repeat_policy {
  // Running the work twice does no harm.
  kIdempotent,
  // The work must run at most once: every attempt carries the same key.
  kKeyed,
  // The work must run at most once and has no key: it is sent again only if it
  // provably did not run.
  kOnce,
};

struct call_request {
  std::string service;
  transport_request http;
  repeat_policy repeat = repeat_policy::kIdempotent;
  std::string organisation;
  // Attempt N sends "<request_id>.<N>" in X-Request-Id. Must be unique.
  std::string request_id;
  // The key of an earlier call for the same work, or empty.
  std::string key;
  duration timeout = std::chrono::seconds(5);
};

// One time that a request was sent, or that sending it was tried.
struct call_attempt {
  std::uint32_t number = 0;
  std::string request_id;
  std::string host;
  endpoint address;
  std::string key;
  // The rest is known at the end of the attempt only.
  call_outcome outcome = call_outcome::kUnknown;
  std::optional<transport_failure> failure;
  int status = 0;
  // X-Outcome-Reason of the host.
  std::string reason;
};

struct call_result {
  call_outcome outcome = call_outcome::kNotRun;
  // The last response, if there was one.
  std::optional<transport_response> response;
  // The key to send the same work again with; empty if none was made.
  std::string key;
  // The host that gave the last response.
  std::string host;
  std::string reason;
  std::uint32_t attempts = 0;
};

// Watches the attempts of a call.
class call_observer {
 public:
  virtual ~call_observer() = default;

  // Called before the first byte of a request with a new key is sent, so that
  // the key can be stored first.
  virtual void OnKey(const call_request& request, std::string_view key) = 0;
  virtual void OnAttemptStart(const call_request& request,
                              const call_attempt& attempt) = 0;
  virtual void OnAttemptEnd(const call_request& request,
                            const call_attempt& attempt) = 0;
};

struct caller_options {
  // Attempts that reach a host; failed connects do not count.
  std::uint32_t max_attempts = 4;
  // Requests are spread evenly over this many of the best hosts.
  std::uint32_t spread = 1;
  duration min_backoff = std::chrono::milliseconds(20);
  duration max_backoff = std::chrono::milliseconds(1000);
  // A host that refused a connection or fell silent is tried last for this
  // time.
  duration avoid_time = std::chrono::seconds(5);
  // Older key prefixes are asked for again, since hosts forget generations.
  duration max_key_prefix_age = std::chrono::minutes(5);
};

// Sends requests to the hosts of a service. Thread safe.
class caller {
 public:
  // Precondition: all references outlive this object. `random` is used by the
  // constructor only.
  caller(const caller_options& options,
         host_resolver& resolver,
         caller_transport& transport,
         retry_timer& timer,
         const clock& time,
         random_source& random);

  // Sends `request` until its outcome is final, its time is up or its attempts
  // are used up. `observer` may be null.
  call_result Call(const call_request& request, call_observer* observer);

 private:
  struct call_state;

  std::vector<discovered_host> OrderHosts(const host_list& list,
                                          std::string_view key);
  bool PrepareKey(call_state& state, const discovered_host& host);
  std::optional<std::string> KeyPrefixOf(const call_state& state,
                                         const discovered_host& host);
  void RunAttempts(call_state& state);
  void SendAttempt(call_state& state, const discovered_host& host);
  void NoteConnectFailure(call_state& state, const discovered_host& host);
  void NoteEnd(call_state& state, const call_attempt& attempt);
  bool WaitBeforeRetry(call_state& state);
  transport_request BuildRequest(const call_state& state,
                                 const call_attempt& attempt) const;
  void Avoid(const discovered_host& host);
  bool IsAvoided(const endpoint& address);
  std::uint64_t DrawUniform(std::uint64_t bound);

  const caller_options options_;
  host_resolver& resolver_;
  caller_transport& transport_;
  retry_timer& timer_;
  const clock& clock_;
  idempotency_key_maker keys_;
  std::mutex mutex_;
  seeded_random random_;
  // By formatted address.
  std::map<std::string, time_point> avoided_until_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CALLER_CALLER_H_

#ifndef TESTS_IDEMPOTENCY_OWNERSHIP_STEP_H_
#define TESTS_IDEMPOTENCY_OWNERSHIP_STEP_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/proxy/outcome.h"
#include "tests/idempotency/explored_claim_store.h"
#include "tests/idempotency/ownership_state.h"
#include "tests/idempotency/ownership_world.h"

namespace bulrushshore {

// Returns the process that runs at `host`, if any.
std::optional<std::size_t> ProcessAtHost(const ownership_state& state,
                                         std::size_t host);

// Returns the process whose incarnation the key of `request` names.
// Precondition: the key is in the own format, or the request knows its binding.
std::size_t OwningProcess(const ownership_scenario& scenario,
                          const ownership_state& state,
                          std::size_t request);

// The time of all states.
time_point ExplorationTime();

// Applies one event to one state. Not thread safe.
class ownership_world::step {
 public:
  // Precondition: both outlive this object.
  step(const ownership_scenario& scenario, ownership_state& state)
      : scenario_(scenario), state_(state) {}

  void Apply(const ownership_event& event);

  // Adds a process of `host` that owns a new incarnation.
  void StartProcess(std::size_t host);

 private:
  using owner_change = std::function<void(key_owner_model&)>;

  void ApplyToRequest(const ownership_event& event);
  void ApplyToProcess(const ownership_event& event);

  // Changes a copy of the process's owner and renews its signature.
  void ChangeOwner(std::size_t process, const owner_change& change);

  void Arrive(std::size_t request,
              store_behaviour behaviour,
              std::function<void()> before_write);
  // Returns false if the key cannot be bound; the request is answered then.
  bool BindForeignKey(std::size_t request,
                      std::size_t process,
                      store_behaviour behaviour,
                      std::function<void()> before_write);
  void ClaimAt(std::size_t request, std::size_t process);
  void TakeAnswer(std::size_t request, const key_claim_answer& claimed);
  void LookForOwner(std::size_t request, failure_point without_owner);
  void Forward(std::size_t request, std::size_t host);
  void EndAttempt(std::size_t request, attempt_end end);
  void StartAtTarget(std::size_t request);

  void StopGracefully(std::size_t process, std::size_t successor_host);
  void EndProcess(std::size_t process);
  void Restart(std::size_t host);
  void Deliver(std::size_t transfer, bool is_copied);

  // The request's way ends; its caller is told, if it still waits.
  void Fail(std::size_t request, failure_point point);
  void Answer(std::size_t request, const std::string& body);
  void Finish(std::size_t request);

  idempotency_key KeyOf(std::size_t request) const;
  // All keys in their own format, as far as they exist in this state.
  std::vector<idempotency_key> KnownKeys() const;
  void Violate(const std::string& description);

  const ownership_scenario& scenario_;
  ownership_state& state_;
};

}  // namespace bulrushshore

#endif  // TESTS_IDEMPOTENCY_OWNERSHIP_STEP_H_

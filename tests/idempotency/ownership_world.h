#ifndef TESTS_IDEMPOTENCY_OWNERSHIP_WORLD_H_
#define TESTS_IDEMPOTENCY_OWNERSHIP_WORLD_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "libraries/proxy/outcome.h"
#include "tests/idempotency/explored_claim_store.h"
#include "tests/idempotency/ownership_state.h"

namespace bulrushshore {

enum class ownership_event_type {
  // The caller sends request `subject` to host `object`.
  kSend,
  // Request `subject` reaches the process at its destination.
  kArrive,
  // As kArrive, with the object store behaving as named.
  kArriveInOutage,
  kArriveWithLostReply,
  kArriveWithLostWrite,
  // As kArrive; request `object`, which carries the same foreign key, arrives
  // at its own destination between the read and the write of the claim.
  kArriveAndLoseRace,
  // Request `subject` does not reach its destination.
  kLose,
  // Request `subject` is forwarded to host `object`.
  kForward,
  // No owner is found for request `subject`.
  kFindNoOwner,
  // The process that forwarded request `subject` stops waiting for it.
  kForwardTimeout,
  // The process begins to send request `subject` to a target.
  kSendToTarget,
  // The attempt of request `subject` ends before a byte was sent.
  kEndBeforeSending,
  // The target starts the work of request `subject`.
  kTargetStarts,
  // The target's response to request `subject` arrives.
  kTargetAnswers,
  // The process gives up the attempt of request `subject` after sending.
  kTargetAnswerLost,
  // Process `subject` ends without notice.
  kCrash,
  // Host `subject` starts a new process.
  kRestart,
  // Process `subject` hands its keys to the process at host `object`.
  kStopGracefully,
  // Process `subject`, which has handed over its keys, ends.
  kExit,
  // Key table `subject` arrives.
  kDeliverHandover,
  // Key table `subject` arrives and is sent once more.
  kDeliverHandoverCopy,
  kLoseHandover,
  kPause,
  kResume,
};

struct ownership_event {
  ownership_event_type type = ownership_event_type::kSend;
  std::size_t subject = 0;
  std::size_t object = 0;
};

// Returns the event as a line of a counterexample.
std::string DescribeEvent(const ownership_event& event);

// The rules by which hosts, callers, targets, the network and the object store
// change a state. Decisions on keys, hand-over, claims and outcomes are those
// of the product's classes; forwarding repeats keyed_runner.cc, which blocks
// and cannot be copied. Pure and not thread safe.
//
// Time stands still: no generation expires. A directory may be out of date in
// any way, so a request can be forwarded to every host that said at some time
// that it answers for the incarnation, whatever process runs there by then.
class ownership_world {
 public:
  // Precondition: `scenario` outlives this object.
  explicit ownership_world(const ownership_scenario& scenario);

  ownership_state InitialState() const;

  // Returns all events that can happen next.
  std::vector<ownership_event> EnabledEvents(
      const ownership_state& state) const;

  // Changes `state` and checks the invariants. Precondition: `event` is
  // enabled.
  void Apply(ownership_state& state, const ownership_event& event) const;

 private:
  class step;

  void AddRequestEvents(const ownership_state& state,
                        std::size_t request,
                        std::vector<ownership_event>& events) const;
  void AddArrivalEvents(const ownership_state& state,
                        std::size_t request,
                        std::vector<ownership_event>& events) const;
  void AddAttemptEvents(const ownership_state& state,
                        std::size_t request,
                        std::vector<ownership_event>& events) const;
  void AddProcessEvents(const ownership_state& state,
                        std::size_t process,
                        std::vector<ownership_event>& events) const;
  void AddHostEvents(const ownership_state& state,
                     std::size_t host,
                     std::vector<ownership_event>& events) const;
  void AddTransferEvents(const ownership_state& state,
                         std::size_t transfer,
                         std::vector<ownership_event>& events) const;

  const ownership_scenario& scenario_;
};

}  // namespace bulrushshore

#endif  // TESTS_IDEMPOTENCY_OWNERSHIP_WORLD_H_

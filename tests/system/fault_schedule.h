#ifndef TESTS_SYSTEM_FAULT_SCHEDULE_H_
#define TESTS_SYSTEM_FAULT_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string_view>
#include <vector>

#include <rapidcheck.h>

namespace bulrushshore {

enum class fault_kind {
  // A host is killed and replaced under the same id.
  kHostCrash,
  // A host is stopped gracefully and replaced under the same id.
  kHostStop,
  // A host is stopped by SIGSTOP and resumed: paused and unaware.
  kHostPause,
  kStoreOutage,
  kStoreSlow,
  // Writes of the object store take effect and their replies are lost.
  kStoreLostReplies,
  kTargetGray,
  kTargetTruncating,
  kTargetHanging,
  kTargetCrash,
  // The open connections of a target go silent.
  kTargetSilent,
  kLinkCutToServer,
  kLinkCutToClient,
  kLinkSilent,
  // The same work with the same key is sent through two hosts at once, several
  // times with a new key each.
  kDuplicateKey,
  // The same with keys that the object store binds to a host.
  kDuplicateForeignKey,
  // A request that crashes its target is sent through one host after another.
  kCrashingRequest,
};

inline constexpr std::size_t kFaultKinds = 17;

// Returns the stable lower-case name of `kind`.
std::string_view FaultKindName(fault_kind kind);

struct fault {
  fault_kind kind = fault_kind::kHostCrash;
  // Chooses the host, target or link; taken modulo their number.
  std::uint32_t subject = 0;
  // From the start of the load.
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds length{0};
};

using fault_schedule = std::vector<fault>;

// Draws schedules of `kMinFaults` to `kMaxFaults` faults.
rc::Gen<fault_schedule> AnyFaultSchedule();

// For failure messages.
std::ostream& operator<<(std::ostream& output, const fault& value);

}  // namespace bulrushshore

#endif  // TESTS_SYSTEM_FAULT_SCHEDULE_H_

#ifndef SERVICES_HOST_DAEMON_AUDIT_ARCHIVER_H_
#define SERVICES_HOST_DAEMON_AUDIT_ARCHIVER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include "libraries/base/result.h"
#include "libraries/store/object_store.h"
#include "libraries/telemetry/audit.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

// Copies the records of an audit log to the store, each exactly once. While the
// store is away the log buffers them and counts what it has to drop. Not thread
// safe.
class audit_copier {
 public:
  // Preconditions: `log` and `store` outlive this object; `host_id` is a valid
  // name.
  audit_copier(const audit_log& log,
               object_store& store,
               std::string host_id,
               std::string incarnation);

  // Writes the records that are not in the store yet, if there are any, as one
  // batch. Errors of the store; the same records are written again then.
  status CopyOnce();

 private:
  const audit_log& log_;
  object_store& store_;
  const std::string host_id_;
  // Distinguishes the batches of two process runs on one host.
  const std::uint64_t first_batch_number_;
  std::uint64_t batches_ = 0;
  std::uint64_t copied_ = 0;
  // A batch whose write may have taken effect is repeated with the same
  // records, so that it is recognised.
  std::size_t pending_records_ = 0;
};

// Runs an audit_copier at a fixed interval. Thread safe.
class audit_archiver {
 public:
  // Preconditions: the references outlive this object.
  audit_archiver(caf::actor_system& system,
                 audit_copier& copier,
                 std::chrono::milliseconds interval,
                 counter& failures);
  // Waits for the write under way.
  ~audit_archiver();

  audit_archiver(const audit_archiver&) = delete;
  audit_archiver& operator=(const audit_archiver&) = delete;

 private:
  caf::actor_system& system_;
  caf::actor worker_;
};

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_AUDIT_ARCHIVER_H_

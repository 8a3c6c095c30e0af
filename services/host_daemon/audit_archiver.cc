#include "services/host_daemon/audit_archiver.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <xxhash.h>
#include <caf/all.hpp>

#include "libraries/store/audit_archive.h"

namespace bulrushshore {
namespace {

using copy_atom = caf::atom_constant<caf::atom("auditcopy")>;

// Leaves room for four billion batches of one process run.
std::uint64_t FirstBatchNumber(const std::string& incarnation) {
  constexpr std::uint64_t kRunBits = 32;
  const std::uint64_t hash =
      XXH3_64bits(incarnation.data(), incarnation.size());
  return (hash >> kRunBits) << kRunBits;
}

caf::behavior CopyWorker(caf::event_based_actor* self,
                         audit_copier* copier,
                         std::chrono::milliseconds interval,
                         counter* failures) {
  self->delayed_send(self, interval, copy_atom::value);
  return {[self, copier, interval, failures](copy_atom) {
    if (!IsOk(copier->CopyOnce())) {
      failures->Increment();
    }
    self->delayed_send(self, interval, copy_atom::value);
  }};
}

}  // namespace

audit_copier::audit_copier(const audit_log& log,
                           object_store& store,
                           std::string host_id,
                           std::string incarnation)
    : log_(log),
      store_(store),
      host_id_(std::move(host_id)),
      first_batch_number_(FirstBatchNumber(incarnation)) {}

status audit_copier::CopyOnce() {
  // Records that the log dropped in the meantime can no longer be copied.
  copied_ = std::max(copied_, log_.dropped());
  const std::size_t limit =
      pending_records_ > 0 ? pending_records_ : kMaxAuditBatchRecords;
  const std::vector<audit_record> records = log_.RecordsAfter(copied_, limit);
  if (records.empty()) {
    return OkStatus();
  }
  pending_records_ = records.size();
  const status written = WriteAuditBatch(
      store_, host_id_, first_batch_number_ + batches_, records);
  if (!IsOk(written)) {
    return ErrorOf(written);
  }
  copied_ += records.size();
  ++batches_;
  pending_records_ = 0;
  return OkStatus();
}

audit_archiver::audit_archiver(caf::actor_system& system,
                               audit_copier& copier,
                               std::chrono::milliseconds interval,
                               counter& failures)
    : system_(system),
      worker_(system.spawn<caf::detached>(CopyWorker,
                                          &copier,
                                          interval,
                                          &failures)) {}

audit_archiver::~audit_archiver() {
  caf::scoped_actor self(system_);
  self->send_exit(worker_, caf::exit_reason::user_shutdown);
  self->wait_for(worker_);
}

}  // namespace bulrushshore

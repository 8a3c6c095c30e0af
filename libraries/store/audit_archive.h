#ifndef LIBRARIES_STORE_AUDIT_ARCHIVE_H_
#define LIBRARIES_STORE_AUDIT_ARCHIVE_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/store/object_store.h"
#include "libraries/telemetry/audit.h"

namespace bulrushshore {

inline constexpr std::size_t kMaxAuditBatchRecords = 500;
inline constexpr std::size_t kMaxAuditTextLength = 256;

// Writes `records` as one object. Its key orders the newest batch first, by the
// time of its last record. Texts are cut at kMaxAuditTextLength. A batch that
// was written before, as after a lost reply, is left as it is. `host_id` and
// `batch_number` together are unique. Errors of the store. Thread safe.
// Preconditions: `records` has 1 to kMaxAuditBatchRecords elements, and
// `host_id` is a valid name.
status WriteAuditBatch(object_store& store,
                       std::string_view host_id,
                       std::uint64_t batch_number,
                       std::span<const audit_record> records);

// Returns the records of the newest batches, newest first, at most `limit`.
// kDataLoss if a batch is invalid; otherwise errors of the store. Thread safe.
result<std::vector<audit_record>> ReadAuditRecords(object_store& store,
                                                   std::size_t limit);

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_AUDIT_ARCHIVE_H_

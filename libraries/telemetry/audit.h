#ifndef LIBRARIES_TELEMETRY_AUDIT_H_
#define LIBRARIES_TELEMETRY_AUDIT_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace bulrushshore {

// One change to the configuration or to the capacity in use.
struct audit_record {
  // Wall-clock time in milliseconds since 1970-01-01 UTC.
  std::int64_t unix_time_ms = 0;
  // Operator name, or the host id for automatic actions.
  std::string actor;
  // For example "note_applied", "target_ejected", "target_readmitted".
  std::string action;
  // What was changed, for example "archive/archive-1".
  std::string subject;
  std::string detail;
  std::uint64_t catalog_version = 0;

  bool operator==(const audit_record&) const = default;
};

// Returns the current wall-clock time for audit records. Thread safe.
std::int64_t CurrentUnixTimeMs();

// Keeps the newest records of this process. Thread safe.
class audit_log {
 public:
  // Precondition: `capacity` > 0.
  explicit audit_log(std::size_t capacity);

  // Adds a record; drops the oldest one at the capacity and counts it.
  void Append(audit_record record);

  // Returns the kept records, oldest first.
  std::vector<audit_record> Records() const;

  // Returns the records appended after the first `sequence` ones, oldest
  // first; the result has at most `limit` records.
  std::vector<audit_record> RecordsAfter(std::uint64_t sequence,
                                         std::size_t limit) const;

  // Returns the number of records ever appended.
  std::uint64_t appended() const;

  // Returns the number of records that were dropped at the capacity.
  std::uint64_t dropped() const;

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<audit_record> records_;
  std::uint64_t dropped_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TELEMETRY_AUDIT_H_

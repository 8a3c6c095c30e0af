#include "services/host_daemon/audit_archiver.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "libraries/store/audit_archive.h"
#include "libraries/store/in_memory_object_store.h"

namespace bulrushshore {
namespace {

audit_record MakeRecord(std::int64_t number) {
  audit_record record;
  record.unix_time_ms = number;
  record.actor = "host-a1";
  record.action = "target_ejected";
  record.subject = "archive/archive-" + std::to_string(number);
  return record;
}

class AuditCopierTest : public testing::Test {
 protected:
  std::size_t StoredRecords() {
    const result<std::vector<audit_record>> read =
        ReadAuditRecords(store_, 100);
    return IsOk(read) ? ValueOf(read).size() : 0;
  }

  in_memory_object_store store_;
  audit_log log_{4};
  audit_copier copier_{log_, store_, "host-a1", "0123456789abcdef"};
};

// Guards against records that are written twice or skipped between batches.
TEST_F(AuditCopierTest, CopiesEachRecordOnce) {
  log_.Append(MakeRecord(1));
  log_.Append(MakeRecord(2));
  ASSERT_TRUE(IsOk(copier_.CopyOnce()));
  ASSERT_TRUE(IsOk(copier_.CopyOnce()));
  log_.Append(MakeRecord(3));
  ASSERT_TRUE(IsOk(copier_.CopyOnce()));
  EXPECT_EQ(StoredRecords(), 3U);
}

// Guards against records lost over an outage of the store, and against records
// that the log had to drop and that block the later ones.
TEST_F(AuditCopierTest, CopiesAfterAnOutageWhatTheLogKept) {
  store_.SetOutage(true);
  for (std::int64_t number = 1; number <= 6; ++number) {
    log_.Append(MakeRecord(number));
    EXPECT_FALSE(IsOk(copier_.CopyOnce()));
  }
  store_.SetOutage(false);
  while (StoredRecords() < 4) {
    ASSERT_TRUE(IsOk(copier_.CopyOnce()));
  }
  ASSERT_TRUE(IsOk(copier_.CopyOnce()));
  EXPECT_EQ(StoredRecords(), 4U);
  EXPECT_EQ(log_.dropped(), 2U);
}

}  // namespace
}  // namespace bulrushshore

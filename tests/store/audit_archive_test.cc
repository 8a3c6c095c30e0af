#include "libraries/store/audit_archive.h"

#include <gtest/gtest.h>

#include "libraries/store/in_memory_object_store.h"

namespace bulrushshore {
namespace {

audit_record Record(std::int64_t unix_time_ms, std::string subject) {
  return {unix_time_ms, "host-1", "target_ejected", std::move(subject), "", 3};
}

// Guards against audit records that are lost, doubled by a lost reply or listed
// in the wrong order.
TEST(AuditArchiveTest, ListsTheNewestRecordsFirst) {
  in_memory_object_store store;
  const std::vector<audit_record> first = {Record(1'000, "a"),
                                           Record(2'000, "b")};
  const std::vector<audit_record> second = {Record(30'000, "c")};
  store.FailWrites("audit/", write_fault::kLostReply, 1);
  ASSERT_TRUE(IsOk(WriteAuditBatch(store, "host-1", 1, first)));
  ASSERT_TRUE(IsOk(WriteAuditBatch(store, "host-1", 1, first)));
  ASSERT_TRUE(IsOk(WriteAuditBatch(store, "host-2", 1, second)));
  const result<std::vector<audit_record>> records = ReadAuditRecords(store, 10);
  ASSERT_TRUE(IsOk(records));
  EXPECT_EQ(ValueOf(records),
            (std::vector<audit_record>{second[0], first[1], first[0]}));
  EXPECT_EQ(ValueOf(ReadAuditRecords(store, 2)).size(), 2U);
}

// Guards against texts of any length that make a batch unreadable.
TEST(AuditArchiveTest, CutsLongTexts) {
  in_memory_object_store store;
  const std::vector<audit_record> records = {
      Record(1'000, std::string(100'000, 'x'))};
  ASSERT_TRUE(IsOk(WriteAuditBatch(store, "host-1", 1, records)));
  const result<std::vector<audit_record>> read = ReadAuditRecords(store, 1);
  ASSERT_TRUE(IsOk(read));
  EXPECT_EQ(ValueOf(read)[0].subject.size(), kMaxAuditTextLength);
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/telemetry/audit.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

audit_record MakeRecord(const std::string& subject) {
  audit_record record;
  record.subject = subject;
  return record;
}

// Guards against an unbounded log and against drops that nobody counts.
TEST(AuditLogTest, DropsAndCountsTheOldestRecord) {
  audit_log log(2);
  log.Append(MakeRecord("a"));
  log.Append(MakeRecord("b"));
  log.Append(MakeRecord("c"));
  const std::vector<audit_record> kept = log.Records();
  ASSERT_EQ(kept.size(), 2U);
  EXPECT_EQ(kept.front().subject, "b");
  EXPECT_EQ(log.dropped(), 1U);
  EXPECT_EQ(log.appended(), 3U);
}

// Guards against a reader that skips or repeats records after a drop.
TEST(AuditLogTest, ReadsOnFromASequenceNumber) {
  audit_log log(2);
  log.Append(MakeRecord("a"));
  log.Append(MakeRecord("b"));
  log.Append(MakeRecord("c"));
  EXPECT_EQ(log.RecordsAfter(0, 10).size(), 2U);
  const std::vector<audit_record> rest = log.RecordsAfter(2, 10);
  ASSERT_EQ(rest.size(), 1U);
  EXPECT_EQ(rest.front().subject, "c");
  EXPECT_TRUE(log.RecordsAfter(3, 10).empty());
}

}  // namespace
}  // namespace bulrushshore

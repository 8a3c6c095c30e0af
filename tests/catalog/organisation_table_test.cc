#include "libraries/catalog/organisation_table.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bulrushshore {
namespace {

organisation_table TableOf(int count) {
  organisation_table table;
  for (int index = 0; index < count; ++index) {
    table.Set({"organisation-" + std::to_string(index), 1});
  }
  return table;
}

// Guards against a change to a new catalog that shows in the one in force.
TEST(OrganisationTableTest, CopiesAreIndependent) {
  const organisation_table before = TableOf(500);
  organisation_table after = before;
  after.Set({"organisation-7", 9});
  after.Erase("organisation-8");
  after.Set({"organisation-new", 2});
  ASSERT_NE(before.Find("organisation-7"), nullptr);
  EXPECT_EQ(before.Find("organisation-7")->weight, 1U);
  EXPECT_NE(before.Find("organisation-8"), nullptr);
  EXPECT_EQ(before.Find("organisation-new"), nullptr);
  EXPECT_EQ(after.Find("organisation-7")->weight, 9U);
  EXPECT_EQ(after.Find("organisation-8"), nullptr);
  EXPECT_EQ(before.size(), 500U);
  EXPECT_EQ(after.size(), 500U);
}

// Guards against a second copy of all organisations during a change, which
// doubled the memory of a host.
TEST(OrganisationTableTest, CopiesShareUnchangedGroups) {
  const organisation_table before = TableOf(500);
  organisation_table after = before;
  after.Set({"organisation-7", 9});
  const std::size_t changed = organisation_table::GroupOf("organisation-7");
  for (std::size_t index = 0; index < organisation_table::kGroupCount;
       ++index) {
    EXPECT_EQ(&before.Group(index) == &after.Group(index), index != changed);
  }
}

// Guards against a lost or doubled organisation in the listing.
TEST(OrganisationTableTest, SortedListsEachOnce) {
  const std::vector<organisation> sorted = TableOf(500).Sorted();
  ASSERT_EQ(sorted.size(), 500U);
  for (std::size_t index = 1; index < sorted.size(); ++index) {
    EXPECT_LT(sorted[index - 1].name, sorted[index].name);
  }
}

// Guards against tables that differ by their history only.
TEST(OrganisationTableTest, EqualityIsByContent) {
  organisation_table emptied;
  emptied.Set({"shop", 1});
  emptied.Erase("shop");
  EXPECT_EQ(emptied, organisation_table());
  EXPECT_EQ(TableOf(50), TableOf(50));
  EXPECT_FALSE(TableOf(50) == TableOf(51));
}

// Guards against a failure on names that the table never held.
TEST(OrganisationTableTest, ErasingAnUnknownNameChangesNothing) {
  organisation_table table = TableOf(3);
  table.Erase("unknown");
  EXPECT_EQ(table, TableOf(3));
}

}  // namespace
}  // namespace bulrushshore

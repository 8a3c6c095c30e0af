#include "libraries/catalog/diff.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against differences that are missed, invented or turned around.
TEST(DiffTest, ListsNewChangedAndWithdrawnObjects) {
  catalog_contents before;
  before.services["a"].name = "a";
  before.services["b"].name = "b";
  before.organisations.Set({"shop", 1});
  catalog_contents after = before;
  after.services.erase("a");
  after.services["b"].queue_limit = 9;
  after.services["c"].name = "c";
  const std::vector<catalog_change> changes = DiffCatalogs(before, after);
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(DescribeChange(changes[0]).verb, "withdraw");
  const change_description changed = DescribeChange(changes[1]);
  EXPECT_EQ(changed.verb, "change");
  EXPECT_EQ(changed.object_type, "service");
  EXPECT_EQ(changed.fields,
            (std::vector<field_change>{{"queue_limit", "200", "9"}}));
  EXPECT_EQ(DescribeChange(changes[2]).verb, "add");
  EXPECT_TRUE(DiffCatalogs(after, after).empty());
}

}  // namespace
}  // namespace bulrushshore

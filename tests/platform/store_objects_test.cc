#include "platform/store_objects.h"

#include <string>

#include <gtest/gtest.h>

#include "platform/json_fields.h"
#include "tests/platform/odd_values.h"

namespace bulrushshore {
namespace {

constexpr char kKind[] = "servers";

std::string Object(std::string_view name, std::string_view zone) {
  return R"({"metadata":{"name":")" + std::string(name) +
         R"(","revision":3},"spec":{"zone":)" + std::string(zone) + "}}";
}

std::string Page(const std::string& items, std::string_view has_more) {
  return R"({"items":[)" + items + R"(],"has-more":)" + std::string(has_more) +
         R"(,"as-of":7})";
}

class OddValueTest : public testing::TestWithParam<odd_value> {};

// Guards against one object that spoils a whole list or ends the process.
TEST_P(OddValueTest, CostsOneObjectOfAPage) {
  const result<store_page> page = DecodePage(
      Page(Object("a", R"("z")") + "," + Object("b", GetParam().text) + "," +
               Object("c", R"("z")"),
           "true"),
      ObjectLimits(kKind));
  ASSERT_TRUE(IsOk(page));
  ASSERT_EQ(ValueOf(page).objects.size(), 3U);
  EXPECT_EQ(ObjectName(ValueOf(page).objects[1]), "b");
  EXPECT_FALSE(FindMember(ValueOf(page).objects[1], "spec"));
  EXPECT_TRUE(FindMember(ValueOf(page).objects[2], "spec"));
  ASSERT_EQ(ValueOf(page).unreadable.size(), 1U);
  EXPECT_EQ(ValueOf(page).unreadable[0].name, "b");
  EXPECT_EQ(ValueOf(page).next_after, "c");
  EXPECT_EQ(ValueOf(page).revision, 7);
}

TEST_P(OddValueTest, CostsOneEventOfAWatch) {
  const std::string events =
      R"({"object":)" + Object("a", GetParam().text) +
      R"(,"deleted":true},{"object":)" + Object("b", R"("z")") +
      R"(,"deleted":false},{"object":)" + GetParam().text + R"(},5)";
  const result<store_changes> changes = DecodeChanges(
      R"({"events":[)" + events + R"(],"as-of":9})", ObjectLimits(kKind));
  ASSERT_TRUE(IsOk(changes));
  ASSERT_EQ(ValueOf(changes).events.size(), 2U);
  // A deletion needs the name only.
  EXPECT_EQ(ObjectName(ValueOf(changes).events[0].object), "a");
  EXPECT_TRUE(ValueOf(changes).events[0].is_deleted);
  EXPECT_EQ(ObjectName(ValueOf(changes).events[1].object), "b");
  EXPECT_FALSE(ValueOf(changes).events[1].is_deleted);
  EXPECT_EQ(ValueOf(changes).unreadable.size(), 3U);
}

TEST_P(OddValueTest, InTheNameCostsTheObject) {
  const std::string odd_name =
      R"({"metadata":{"name":)" + GetParam().text + R"(},"spec":{}})";
  const result<store_page> page = DecodePage(
      Page(Object("a", "1") + "," + odd_name, "true"), ObjectLimits(kKind));
  ASSERT_TRUE(IsOk(page));
  EXPECT_EQ(ValueOf(page).objects.size(), 1U);
  EXPECT_EQ(ValueOf(page).next_after, "a");
}

INSTANTIATE_TEST_SUITE_P(Values, OddValueTest, testing::ValuesIn(OddValues()));

// Guards against a list that ends early or never: without a name to continue
// after, the rest of the list is unknown.
TEST(StoreObjectsTest, APageWithoutANameToContinueAfterIsAnError) {
  EXPECT_FALSE(IsOk(DecodePage(Page("5,[]", "true"), ObjectLimits(kKind))));
  EXPECT_TRUE(IsOk(DecodePage(Page("5,[]", "false"), ObjectLimits(kKind))));
}

TEST(StoreObjectsTest, RefusesResponsesThatCannotBeSplit) {
  for (const char* body :
       {"", "[]", "{}", R"({"items":[],"as-of":"x"})",
        R"({"items":{},"as-of":1})", R"({"items":[{],"as-of":1})",
        R"({"items":[],"as-of":1e999})"}) {
    EXPECT_FALSE(IsOk(DecodePage(body, ObjectLimits(kKind)))) << body;
    EXPECT_FALSE(IsOk(DecodeChanges(body, ObjectLimits(kKind)))) << body;
  }
}

TEST(StoreObjectsTest, AnObjectOfTheConfigurationMayBeLarge) {
  constexpr int kRoutes = 4000;
  std::string routes;
  for (int route = 0; route < kRoutes; ++route) {
    routes += (route == 0 ? "\"r" : ",\"r") + std::to_string(route) +
              R"(":{"host":"a.example","path-prefix":"/x/","kind":"safe",)"
              R"("timeout-ms":6000,"target-latency-ms":2000,"priority":1,)"
              R"("backends":[{"service":"s1","weight":9},)"
              R"({"service":"s2","weight":1}],"max-attempts":2})";
  }
  const std::string object =
      R"({"metadata":{"name":"main"},"spec":{"routes":{)" + routes + "}}}";
  const result<store_page> page =
      DecodePage(Page(object, "false"), ObjectLimits("config"));
  ASSERT_TRUE(IsOk(page));
  EXPECT_TRUE(ValueOf(page).unreadable.empty());
}

}  // namespace
}  // namespace bulrushshore

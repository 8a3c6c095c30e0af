#include "libraries/routing/route_table.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

catalog_contents WithRoutes(const std::vector<route>& routes) {
  catalog_contents contents;
  for (const route& added : routes) {
    contents.routes[added.name] = added;
  }
  return contents;
}

std::string NameOf(const route* found) {
  return found == nullptr ? "none" : found->name;
}

route MakeRoute(std::string name, std::string prefix, std::string host = "") {
  return {std::move(name),
          "service",
          std::move(prefix),
          std::move(host),
          "kind",
          true,
          false};
}

// Guards against a request that goes to a service other than its own.
TEST(RouteTableTest, TakesTheLongestPrefixOnASegmentBoundary) {
  const route_table table(
      WithRoutes({MakeRoute("archive", "/archive/"),
                  MakeRoute("photos", "/archive/photos"),
                  MakeRoute("of-host", "/archive", "shop.example")}));
  EXPECT_EQ(NameOf(table.Find("/archive", "")), "archive");
  EXPECT_EQ(NameOf(table.Find("/archive/", "")), "archive");
  EXPECT_EQ(NameOf(table.Find("/archive/photo", "")), "archive");
  EXPECT_EQ(NameOf(table.Find("/archive/photos/1/2", "")), "photos");
  EXPECT_EQ(NameOf(table.Find("/archive/photos", "shop.example")), "photos");
  EXPECT_EQ(NameOf(table.Find("/archive/x", "shop.example")), "of-host");
  EXPECT_EQ(NameOf(table.Find("/archives", "")), "none");
  EXPECT_EQ(NameOf(table.Find("/", "")), "none");
}

// Guards against a root route that matches nothing or hides the others.
TEST(RouteTableTest, FallsBackToTheRoot) {
  const route_table table(
      WithRoutes({MakeRoute("root", "/"), MakeRoute("a", "/a")}));
  EXPECT_EQ(NameOf(table.Find("/", "")), "root");
  EXPECT_EQ(NameOf(table.Find("/b/c", "")), "root");
  EXPECT_EQ(NameOf(table.Find("/a/c", "")), "a");
}

// Guards against host names that fail to match because of case or port.
TEST(RouteTableTest, ComparesHostNamesWithoutPortAndCase) {
  EXPECT_EQ(HostNameOf("Shop.Example:8080"), "shop.example");
  EXPECT_EQ(HostNameOf("[::1]:80"), "[::1]");
  EXPECT_EQ(HostNameOf("[::1]"), "[::1]");
  const route_table table(WithRoutes({MakeRoute("r", "/", "SHOP.example")}));
  EXPECT_EQ(NameOf(table.Find("/x", HostNameOf("shop.EXAMPLE:1"))), "r");
  EXPECT_EQ(NameOf(table.Find("/x", "other")), "none");
}

// Guards against faults that show only with many routes.
TEST(RouteTableTest, FindsEachRouteAtTheDesignScale) {
  constexpr int kRoutes = 4900;
  std::vector<route> routes;
  for (int index = 0; index < kRoutes; ++index) {
    const std::string number = std::to_string(index);
    routes.push_back(MakeRoute("r" + number, "/s" + number + "/t"));
  }
  const route_table table(WithRoutes(routes));
  EXPECT_EQ(table.size(), routes.size());
  for (const route& expected : routes) {
    EXPECT_EQ(NameOf(table.Find(expected.path_prefix + "/x", "")),
              expected.name);
  }
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/rules/rule_index.h"

#include <memory>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

route_rule MakeRoute(std::string name, std::string host, std::string prefix) {
  route_rule route;
  route.name = std::move(name);
  route.host_name = std::move(host);
  route.path_prefix = std::move(prefix);
  route.services = {{"s", 1.0}};
  return route;
}

rule_index MakeIndex() {
  std::shared_ptr<rule_set> rules = std::make_shared<rule_set>();
  for (const route_rule& route : {MakeRoute("short", "a.example", "/x/"),
                                  MakeRoute("long", "a.example", "/x/y/"),
                                  MakeRoute("other", "b.example", "/x/"),
                                  MakeRoute("root", "c.example", "/")}) {
    rules->routes[route.name] = route;
  }
  return rule_index(rules);
}

std::string NameOf(const route_rule* route) {
  return route ? route->name : "";
}

// A request must not use the route of a shorter prefix or of another host.
TEST(RuleIndexTest, FindsTheLongestMatchingPrefixOfTheHost) {
  const rule_index index = MakeIndex();
  EXPECT_EQ(NameOf(index.Find("a.example", "/x/y/z")), "long");
  EXPECT_EQ(NameOf(index.Find("a.example", "/x/yz")), "short");
  EXPECT_EQ(NameOf(index.Find("a.example", "/x/")), "short");
  EXPECT_EQ(NameOf(index.Find("b.example", "/x/y/z")), "other");
  EXPECT_EQ(NameOf(index.Find("c.example", "/anything")), "root");
}

TEST(RuleIndexTest, IgnoresPortCaseAndQuery) {
  const rule_index index = MakeIndex();
  EXPECT_EQ(NameOf(index.Find("A.Example:80", "/x/y?z=/x/y/")), "short");
}

TEST(RuleIndexTest, ReturnsNullIfNoPrefixMatches) {
  const rule_index index = MakeIndex();
  EXPECT_EQ(index.Find("a.example", "/x"), nullptr);
  EXPECT_EQ(index.Find("a.example", "/xy/"), nullptr);
  EXPECT_EQ(index.Find("d.example", "/x/"), nullptr);
  EXPECT_EQ(index.Find("a.example", ""), nullptr);
}

TEST(RuleIndexTest, SplitsRequestsByWeight) {
  route_rule route = MakeRoute("split", "h", "/");
  route.services = {{"big", 90.0}, {"small", 10.0}};
  seeded_random random(7);
  int small_count = 0;
  constexpr int kRequests = 10'000;
  for (int request = 0; request < kRequests; ++request) {
    small_count += ChooseService(route, random) == "small" ? 1 : 0;
  }
  EXPECT_NEAR(small_count, kRequests * 0.1, kRequests * 0.02);
}

}  // namespace
}  // namespace bulrushshore

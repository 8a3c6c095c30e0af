#include "libraries/routing/request_target.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against paths that a target reads differently than the route table,
// by which a request reaches work that its route does not cover.
TEST(RequestTargetTest, RejectsAmbiguousTargets) {
  for (const std::string_view text :
       {"",       "*",         "a",     "http://a/b",  "/a/../b",   "/a/..",
        "/./a",   "/a//b",     "//a",   "/a/%2e%2e/b", "/a/.%2E",   "/a%2fb",
        "/a%2Fb", "/a%5cb",    "/a\\b", "/a%00b",      "/a%0d%0ab", "/a%7f",
        "/a%",    "/a%2",      "/a%zz", "/a%+1",       "/a b",      "/a#b",
        "/a?b#c", "/\xc3\xa9", "/a\tb", "/a?b\r\nc",   "/a<b"}) {
    EXPECT_FALSE(IsOk(ParseRequestTarget(text))) << text;
  }
}

// Guards against two spellings of one path that match different routes.
TEST(RequestTargetTest, NormalizesEscapes) {
  const result<request_target> parsed =
      ParseRequestTarget("/%61rchive/x%2dy%c3%a9/?q=%2f..%2f&r");
  ASSERT_TRUE(IsOk(parsed));
  EXPECT_EQ(ValueOf(parsed).path, "/archive/x-y%C3%A9/");
  EXPECT_EQ(ValueOf(parsed).query, "q=%2f..%2f&r");
  EXPECT_EQ(ValueOf(parsed).ToString(), "/archive/x-y%C3%A9/?q=%2f..%2f&r");
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/base/bounded_json.h"

#include <string>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

std::string Repeat(std::string_view text, std::size_t count) {
  std::string repeated;
  for (std::size_t index = 0; index < count; ++index) {
    repeated += text;
  }
  return repeated;
}

TEST(BoundedJsonTest, ParsesWithinTheLimits) {
  const std::optional<nlohmann::json> value =
      ParseBoundedJson(R"( {"a":[1,-2.5e3,"x\"]",true,null],"b":{}} )");
  ASSERT_TRUE(value);
  EXPECT_EQ((*value)["a"][2], "x\"]");
  EXPECT_EQ(ParseBoundedJson("7"), nlohmann::json(7));
}

// Guards against a text whose copy exhausts the stack.
TEST(BoundedJsonTest, RefusesDeepTexts) {
  constexpr std::size_t kDepth = 100'000;
  const json_limits limits{.max_depth = 3};
  EXPECT_TRUE(ParseBoundedJson("[[[1]]]", limits));
  EXPECT_FALSE(ParseBoundedJson("[[[[1]]]]", limits));
  EXPECT_FALSE(ParseBoundedJson(Repeat("[", kDepth) + Repeat("]", kDepth)));
  EXPECT_FALSE(
      ParseBoundedJson(Repeat("{\"a\":", kDepth) + "1" + Repeat("}", kDepth)));
}

TEST(BoundedJsonTest, RefusesTooManyValuesAndBytes) {
  EXPECT_TRUE(ParseBoundedJson("[1,[]]", {.max_values = 3}));
  EXPECT_FALSE(ParseBoundedJson("[1,[],2]", {.max_values = 3}));
  EXPECT_FALSE(ParseBoundedJson(R"({"a":1,"b":2})", {.max_values = 4}));
  EXPECT_FALSE(ParseBoundedJson("\"abcdef\"", {.max_bytes = 7}));
}

// Guards against exceptions of the parser for values that it can't represent.
TEST(BoundedJsonTest, RefusesWhatTheLibraryCannotRepresent) {
  for (const std::string& text :
       {std::string("1e999"), "1" + std::string(5000, '0'),
        std::string(R"("\udcff")"), std::string("\"\xff\xfe\""),
        std::string(R"("\ud800x")"), std::string("\"a\nb\"")}) {
    EXPECT_FALSE(ParseBoundedJson(text)) << text.substr(0, 10);
  }
}

TEST(BoundedJsonTest, RefusesWhatIsNoJson) {
  for (const char* text : {"", " ", "[", "]", "[1", "[1]]", "{\"a\"}", "\"a",
                           "\"a\\", "[1}", "nul", "1 2", ",", "[,]"}) {
    EXPECT_FALSE(ParseBoundedJson(text)) << text;
  }
}

TEST(BoundedJsonTest, SplitsContainersWithoutReadingTheirParts) {
  constexpr std::size_t kMaxParts = 3;
  const std::optional<std::vector<json_member_text>> members = SplitJsonObject(
      R"({"a" : "\udcff,}" , "b":[1e999,{"c":2}],"d":1})", kMaxParts);
  ASSERT_TRUE(members);
  ASSERT_EQ(members->size(), kMaxParts);
  EXPECT_EQ(FindMemberText(*members, "a"), R"("\udcff,}")");
  EXPECT_EQ(FindMemberText(*members, "b"), R"([1e999,{"c":2}])");
  EXPECT_EQ(FindMemberText(*members, "d"), "1");
  EXPECT_EQ(FindMemberText(*members, "c"), "");
  EXPECT_FALSE(SplitJsonArray("[1,2,3,4]", kMaxParts));
  const std::optional<std::vector<std::string_view>> elements =
      SplitJsonArray("[ ]", kMaxParts);
  ASSERT_TRUE(elements);
  EXPECT_TRUE(elements->empty());
}

TEST(BoundedJsonTest, DoesNotSplitWhatIsNoContainer) {
  for (const char* text : {"", "1", "[1", "[1,]", "[,1]", "[1 2]", "[]x",
                           "[1]]", "[{]", "[\"a]"}) {
    EXPECT_FALSE(SplitJsonArray(text, 9)) << text;
  }
  for (const char* text : {"", "{", "{\"a\"}", "{a:1}", "{\"a\":}",
                           "{\"a\":1,}", "{\"a\":1 \"b\":2}", "{\"a\\\":1}"}) {
    EXPECT_FALSE(SplitJsonObject(text, 9)) << text;
  }
}

}  // namespace
}  // namespace bulrushshore

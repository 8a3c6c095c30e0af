#include "libraries/proxy/outcome.h"

#include <fstream>
#include <set>
#include <sstream>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against an outcome whose HTTP form contradicts it, and against two
// failure points that operators cannot tell apart.
TEST(OutcomeTest, GivesEachFailurePointItsHttpForm) {
  std::set<std::string_view> reasons;
  for (const failure_point point : AllFailurePoints()) {
    const outcome result = OutcomeOf(point);
    EXPECT_TRUE(reasons.insert(result.reason).second) << result.reason;
    EXPECT_NE(result.kind, outcome_kind::kAnswered);
    const proxy_response response =
        MakeFailureResponse(point, std::chrono::milliseconds(1500));
    EXPECT_EQ(response.headers.Find("X-Outcome"), OutcomeKindName(result.kind));
    EXPECT_EQ(response.headers.Find("X-Outcome-Reason"), result.reason);
    const bool is_not_run = result.kind == outcome_kind::kNotRun;
    EXPECT_EQ(is_not_run, response.status == 503);
    EXPECT_EQ(response.headers.Find("Retry-After").value_or(""),
              is_not_run ? "2" : "");
    EXPECT_EQ(result.kind == outcome_kind::kRefused, response.status < 500);
    EXPECT_EQ(result.kind == outcome_kind::kUnknown,
              response.status == 502 || response.status == 504);
    EXPECT_EQ(MayHaveStarted(point), result.kind == outcome_kind::kUnknown);
  }
}

// Guards against a table of outcomes that lags behind the code.
TEST(OutcomeTest, IsDocumented) {
  std::ifstream file(OUTCOMES_PAGE);
  std::stringstream page;
  page << file.rdbuf();
  for (const failure_point point : AllFailurePoints()) {
    const outcome result = OutcomeOf(point);
    const std::string row = "| `" + std::string(result.reason) + "` | " +
                            std::to_string(result.status) + " | " +
                            std::string(OutcomeKindName(result.kind)) + " |";
    EXPECT_NE(page.str().find(row), std::string::npos) << row;
  }
}

}  // namespace
}  // namespace bulrushshore

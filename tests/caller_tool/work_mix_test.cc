#include "utilities/caller_tool/work_mix.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against a mistyped mix that sends other load than the one meant.
TEST(WorkMixTest, RejectsMalformedMixes) {
  for (const char* text :
       {"", "s:k:/p:1", "s:k:/p:0:keyed", "s:k:p:1:keyed", "s:k:/p:1:twice",
        "s:k:/p:1:keyed:5:6", "s:k:/p:x:keyed", "s:k:/p:1:keyed,x"}) {
    EXPECT_FALSE(IsOk(ParseWorkMix(text))) << text;
  }
}

// Guards against plans that differ between runs with the same seed, and against
// shares and rates other than those asked for.
TEST(WorkMixTest, PlansTheSameArrivalsForTheSameSeed) {
  const result<std::vector<work_kind>> kinds =
      ParseWorkMix("a:x:/x:3:idempotent,b:y:/y:1:keyed:2.5");
  ASSERT_TRUE(IsOk(kinds));
  EXPECT_EQ(ValueOf(kinds)[1].work_ms, 2.5);
  arrival_plan plan;
  plan.requests_per_second = 1000.0;
  plan.is_poisson = true;
  plan.organisations = 7;
  seeded_random first(5);
  seeded_random second(5);
  const std::vector<planned_request> planned =
      PlanArrivals(plan, ValueOf(kinds), first);
  const std::vector<planned_request> again =
      PlanArrivals(plan, ValueOf(kinds), second);
  ASSERT_EQ(planned.size(), again.size());
  EXPECT_NEAR(static_cast<double>(planned.size()), 10'000.0, 500.0);
  std::size_t keyed = 0;
  for (std::size_t index = 0; index < planned.size(); ++index) {
    EXPECT_EQ(planned[index].arrival, again[index].arrival);
    EXPECT_EQ(planned[index].kind, again[index].kind);
    keyed += planned[index].kind->repeat == repeat_policy::kKeyed ? 1U : 0U;
  }
  EXPECT_NEAR(static_cast<double>(keyed) / static_cast<double>(planned.size()),
              0.25, 0.03);
}

}  // namespace
}  // namespace bulrushshore

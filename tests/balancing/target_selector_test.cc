#include "libraries/balancing/target_selector.h"

#include <array>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr std::size_t kDraws = 10'000;

std::vector<double> Shares(target_selector& selector,
                           std::span<const target_load> candidates) {
  seeded_random random(7);
  std::vector<double> shares(candidates.size(), 0.0);
  for (std::size_t draw = 0; draw < kDraws; ++draw) {
    shares[selector.Choose(candidates, random).value()] += 1.0 / kDraws;
  }
  return shares;
}

std::unique_ptr<target_selector> Make(const std::string& name) {
  return TakeValue(MakeTargetSelector(name));
}

// Guards against a selector that fails without candidates or leaves some out.
TEST(TargetSelectorTest, AllSelectorsUseEachEqualCandidate) {
  const std::array<target_load, 3> equal{};
  for (const char* name :
       {"random", "round_robin", "least_outstanding", "two_choices"}) {
    const std::unique_ptr<target_selector> selector = Make(name);
    seeded_random random(1);
    EXPECT_EQ(selector->Choose({}, random), std::nullopt) << name;
    for (const double share : Shares(*selector, equal)) {
      EXPECT_NEAR(share, 1.0 / 3, 0.03) << name;
    }
  }
  EXPECT_FALSE(IsOk(MakeTargetSelector("best")));
}

// Guards against full traffic to a target in slow start.
TEST(TargetSelectorTest, WeightReducesTheShare) {
  std::array<target_load, 3> candidates{};
  candidates[1].weight = 0.1;
  for (const char* name : {"random", "round_robin", "two_choices"}) {
    EXPECT_LT(Shares(*Make(name), candidates)[1], 0.12) << name;
  }
}

// Guards against ignoring either of the two load figures.
TEST(TwoChoicesTest, AvoidsOwnAndReportedLoad) {
  two_choices_selector selector;
  std::array<target_load, 3> own{{{6, 5}, {6, 0}, {6, 0}}};
  EXPECT_EQ(Shares(selector, own)[0], 0.0);
  std::array<target_load, 3> reported{{{6, 0, 5}, {6, 0, 0}, {6, 0, 0}}};
  EXPECT_EQ(Shares(selector, reported)[0], 0.0);
}

// Guards against traffic that crosses zones without need, and against a zone
// preference that overloads near targets.
TEST(TwoChoicesTest, PrefersTheSameZoneOnlyAtEqualLoad) {
  two_choices_selector selector;
  std::array<target_load, 2> equal{{{6, 1}, {6, 1}}};
  equal[0].is_same_zone = true;
  EXPECT_GT(Shares(selector, equal)[0], 0.999);
  equal[0].in_flight = 2;
  EXPECT_EQ(Shares(selector, equal)[0], 0.0);
}

// Guards against starving a target whose load report is absurdly high.
TEST(TwoChoicesTest, BoundsAReportedLoadByTheSlots) {
  two_choices_selector selector;
  std::array<target_load, 2> candidates{{{6, 0, 1'000'000}, {6, 6, 1}}};
  EXPECT_GT(Shares(selector, candidates)[0], 0.999);
}

}  // namespace
}  // namespace bulrushshore

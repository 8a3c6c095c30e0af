#include "libraries/admission/work_classifier.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr duration kShort = std::chrono::milliseconds(20);
constexpr duration kLong = std::chrono::milliseconds(900);

// Guards against long work that is classified as short.
TEST(WorkClassifierTest, LearnsLongKinds) {
  work_classifier classifier;
  EXPECT_FALSE(classifier.IsLong("photo"));
  EXPECT_FALSE(classifier.MeanDuration());
  for (int request = 0; request < 200; ++request) {
    classifier.Record("lookup", kShort);
    if (request % 10 == 0) {
      classifier.Record("photo", kLong);
    }
  }
  EXPECT_TRUE(classifier.IsLong("photo"));
  EXPECT_FALSE(classifier.IsLong("lookup"));
  EXPECT_EQ(ToMilliseconds(*classifier.ExpectedDuration("photo")),
            ToMilliseconds(kLong));
}

// Guards against classifying the most frequent kind of a service as long
// because a rare kind is shorter.
TEST(WorkClassifierTest, TheMostFrequentKindIsShort) {
  work_classifier classifier;
  for (int request = 0; request < 100; ++request) {
    classifier.Record("photo", kLong);
    if (request % 10 == 0) {
      classifier.Record("status", kShort);
    }
  }
  EXPECT_FALSE(classifier.IsLong("photo"));
}

// Guards against a class that changes back and forth when the duration of a
// kind varies around the threshold.
TEST(WorkClassifierTest, ClassificationHasHysteresis) {
  work_classifier classifier;
  for (int request = 0; request < 400; ++request) {
    classifier.Record("lookup", kShort);
    classifier.Record("lookup", kShort);
    classifier.Record("history", request < 200 ? 5 * kShort : 7 * kShort / 2);
    if (request >= 100) {
      EXPECT_TRUE(classifier.IsLong("history")) << request;
    }
  }
}

}  // namespace
}  // namespace bulrushshore

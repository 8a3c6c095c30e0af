#include <gtest/gtest.h>

#include "libraries/health/outlier_detector.h"
#include "tests/health/detector_driver.h"

namespace bulrushshore {
namespace {

using driver = detector_driver;

evidence HealthyScript(const std::string&, int) {
  return driver::Success();
}

// Guards against a host with a broken network that ejects healthy targets.
TEST(SelfSuspicionTest, AHostThatLosesAllTargetsSuspectsItself) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(100, [](const std::string&, int) { return driver::Failure(); });
  EXPECT_TRUE(service.detector.IsSelfSuspect());
  EXPECT_EQ(service.CountEvents(health_event_type::kEjected), 0U);
  EXPECT_EQ(service.CountEvents(health_event_type::kHostSuspected), 1U);
  service.Run(200, HealthyScript);
  EXPECT_FALSE(service.detector.IsSelfSuspect());
  EXPECT_EQ(service.CountEvents(health_event_type::kHostCleared), 1U);
  EXPECT_EQ(service.CountEvents(health_event_type::kEjected), 0U)
      << "evidence of the partition is used after it";
}

// Guards against the ejection of the first target that reaches the score when
// the answers of all targets stop at the same time.
TEST(SelfSuspicionTest, ATargetIsEjectedOnlyWhileOthersGiveGoodAnswers) {
  health_options options;
  options.is_self_suspicion_enabled = false;
  driver service(6, options);
  service.Run(100, HealthyScript);
  service.Run(100, [](const std::string&, int) { return driver::Failure(); });
  service.Run(100, HealthyScript);
  EXPECT_EQ(service.CountEvents(health_event_type::kEjected), 0U);
}

// Guards against self-suspicion when an availability zone is lost.
TEST(SelfSuspicionTest, AThirdOfTheTargetsIsNotTheHost) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(100, [](const std::string& name, int) {
    return name <= "t1" ? driver::Failure() : driver::Success();
  });
  EXPECT_FALSE(service.detector.IsSelfSuspect());
  EXPECT_GT(service.CountEvents(health_event_type::kEjected), 0U);
}

// Guards against ejections by a host that suspects itself, when the targets
// still give good answers in between.
TEST(SelfSuspicionTest, ASuspectHostEjectsNothing) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(300, [](const std::string& name, int round) {
    return name <= "t3" && round % 4 != 3 ? driver::Failure()
                                          : driver::Success();
  });
  ASSERT_TRUE(service.detector.IsSelfSuspect());
  const auto suspected =
      std::find_if(service.events.begin(), service.events.end(),
                   [](const health_event& event) {
                     return event.type == health_event_type::kHostSuspected;
                   });
  const std::ptrdiff_t ejected = std::count_if(
      suspected, service.events.end(), [](const health_event& event) {
        return event.type == health_event_type::kEjected &&
               event.reason == health_reason::kFailures;
      });
  EXPECT_EQ(ejected, 0);
}

// Guards against growing pauses for targets that wait for the host itself.
TEST(SelfSuspicionTest, TrialsOfASuspectHostDoNotGrowThePause) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(10, [](const std::string& name, int) {
    return name == "t0" ? driver::Failure() : driver::Success();
  });
  ASSERT_EQ(service.State("t0"), health_state::kEjected);
  service.Run(1'000, [](const std::string&, int) { return driver::Failure(); });
  ASSERT_TRUE(service.detector.IsSelfSuspect());
  for (const health_event& event : service.events) {
    EXPECT_LE(event.ejection_time, std::chrono::seconds(5));
  }
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/health/outlier_detector.h"

#include <gtest/gtest.h>

#include "tests/health/detector_driver.h"

namespace bulrushshore {
namespace {

using driver = detector_driver;

evidence HealthyScript(const std::string&, int) {
  return driver::Success();
}

evidence HalfFailing(const std::string& name, int round) {
  return name == "t0" && round % 2 == 0 ? driver::Failure() : driver::Success();
}

// Guards against a gray target that stays in use, and an event without
// evidence.
TEST(OutlierDetectorTest, EjectsATargetThatFailsHalfOfItsRequests) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(30, HalfFailing);
  EXPECT_EQ(service.State("t0"), health_state::kEjected);
  ASSERT_EQ(service.events.size(), 1U);
  const health_event& event = service.events.front();
  EXPECT_EQ(event.type, health_event_type::kEjected);
  EXPECT_EQ(event.reason, health_reason::kFailures);
  EXPECT_EQ(event.ejection_time, std::chrono::seconds(5));
  EXPECT_GE(event.figures.failure_score, 13.8);
  EXPECT_GT(event.figures.failure_share, 0.02);
  EXPECT_EQ(event.figures.slots_in_use, 30U);
  EXPECT_EQ(event.figures.floor_slots, 26U);
}

// Guards against a verdict on a handful of requests.
TEST(OutlierDetectorTest, NeedsSeveralFailures) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(3, [](const std::string& name, int) {
    return name == "t0" ? driver::Failure() : driver::Success();
  });
  service.Run(100, HealthyScript);
  EXPECT_TRUE(service.events.empty());
}

// Guards against the ejection of targets for failures that all have.
TEST(OutlierDetectorTest, CompareFailuresWithTheOtherTargets) {
  driver service(6);
  service.Run(3'000, [](const std::string&, int round) {
    return round % 5 == 0 ? driver::Failure() : driver::Success();
  });
  EXPECT_EQ(service.CountEvents(health_event_type::kEjected), 0U);
}

// Guards against blaming a target because it runs more of a kind that fails
// everywhere.
TEST(OutlierDetectorTest, ComparesWithinTheSameKind) {
  driver service(6);
  service.Run(3'000, [](const std::string& name, int round) {
    const bool is_export = name == "t0" || round % 10 == 0;
    evidence observed = driver::Success();
    if (is_export) {
      observed.kind = "export";
      observed.elapsed = 40 * driver::kUsualTime;
      observed.type =
          round % 20 == 0 ? evidence_type::kFailure : evidence_type::kSuccess;
    }
    return observed;
  });
  EXPECT_EQ(service.CountEvents(health_event_type::kEjected), 0U);
}

// Guards against taking rare long requests for a slow target.
TEST(OutlierDetectorTest, SingleSlowRequestsAreNoFault) {
  driver service(6);
  service.Run(5'000, [](const std::string& name, int round) {
    const bool is_slow = (round + name.back()) % 20 == 0;
    return driver::Success(is_slow ? 30 * driver::kUsualTime
                                   : driver::kUsualTime);
  });
  EXPECT_TRUE(service.events.empty());
}

// Guards against a target that is much slower than the others and stays.
TEST(OutlierDetectorTest, EjectsATargetThatIsFiveTimesSlower) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(30, [](const std::string& name, int) {
    return driver::Success(name == "t0" ? 5 * driver::kUsualTime
                                        : driver::kUsualTime);
  });
  ASSERT_EQ(service.State("t0"), health_state::kEjected);
  EXPECT_EQ(service.events.front().reason, health_reason::kSlowness);
}

// Guards against blaming a target for the short deadlines of callers.
TEST(OutlierDetectorTest, ImpatientDeadlinesAreNoFault) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(200, [](const std::string& name, int) {
    evidence observed = driver::Success();
    if (name == "t0") {
      observed = {evidence_type::kTimeout, "lookup", driver::kUsualTime / 2};
    }
    return observed;
  });
  EXPECT_TRUE(service.events.empty());
}

// Guards against holding silent pooled connections, cancelled requests and
// shed work against a target.
TEST(OutlierDetectorTest, NeutralOutcomesDoNotCount) {
  driver service(6);
  service.Run(500, [](const std::string& name, int) {
    evidence observed = driver::Success();
    if (name == "t0") {
      observed.type = evidence_type::kNeutral;
    }
    return observed;
  });
  EXPECT_TRUE(service.events.empty());
}

// Guards against neutral outcomes that count as successes and hide a fault.
TEST(OutlierDetectorTest, NeutralOutcomesDoNotHideFailures) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(30, [](const std::string& name, int round) {
    evidence observed = driver::Success();
    if (name == "t0") {
      observed.type =
          round % 5 == 0 ? evidence_type::kFailure : evidence_type::kNeutral;
    }
    return observed;
  });
  EXPECT_EQ(service.State("t0"), health_state::kEjected);
}

// Guards against the ejection of a target that one request crashed.
TEST(OutlierDetectorTest, OneCrashIsOneFailure) {
  driver service(6);
  service.Run(100, HealthyScript);
  const evidence lost{evidence_type::kConnectionLost, "lookup",
                      driver::kUsualTime};
  for (int in_flight = 0; in_flight < 6; ++in_flight) {
    service.now += std::chrono::milliseconds(10);
    for (const char* other : {"t1", "t2", "t3", "t4", "t5"}) {
      service.detector.Report(other, driver::Success(), service.now);
    }
    service.detector.Report("t0", lost, service.now);
  }
  service.Run(100, HealthyScript);
  EXPECT_TRUE(service.events.empty());
  service.Run(30, [&lost](const std::string& name, int) {
    return name == "t0" ? lost : driver::Success();
  });
  EXPECT_EQ(service.State("t0"), health_state::kEjected);
}

// Guards against targets that are never tried again, that return with full
// traffic at once, and against pauses that do not grow or never shrink.
TEST(OutlierDetectorTest, TriesAgainWithGrowingPauses) {
  driver service(6);
  service.Run(100, HealthyScript);
  const driver::script failing = [](const std::string& name, int) {
    return name == "t0" ? driver::Failure() : driver::Success();
  };
  service.Run(20'000, failing);
  std::vector<std::int64_t> pauses;
  for (const health_event& event : service.events) {
    if (event.type == health_event_type::kEjected) {
      pauses.push_back(ToMilliseconds(event.ejection_time).count() / 1000);
    }
  }
  const std::vector<std::int64_t> expected{5, 10, 20, 40, 80, 160, 300, 300};
  ASSERT_GE(pauses.size(), expected.size());
  EXPECT_TRUE(std::equal(expected.begin(), expected.end(), pauses.begin()));
  service.Run(3'100, HealthyScript);
  EXPECT_NE(service.State("t0"), health_state::kEjected);
  service.Run(6'000, HealthyScript);
  service.events.clear();
  service.Run(60, failing);
  ASSERT_FALSE(service.events.empty());
  EXPECT_LE(service.events.front().ejection_time, std::chrono::seconds(20));
}

// Guards against full traffic to a target that has just been readmitted.
TEST(OutlierDetectorTest, ReadmitsWithASlowStart) {
  driver service(6);
  service.Run(100, HealthyScript);
  service.Run(30, HalfFailing);
  const duration tick = driver::kRound;
  for (int round = 0;
       round < 100 && service.State("t0") != health_state::kSlowStart;
       ++round) {
    service.Run(1, HealthyScript);
  }
  ASSERT_EQ(service.State("t0"), health_state::kSlowStart);
  EXPECT_EQ(service.events.back().type, health_event_type::kReadmitted);
  EXPECT_EQ(service.events.back().reason, health_reason::kTrialsSucceeded);
  EXPECT_LT(service.detector.Health("t0", service.now).weight, 0.2);
  service.Run(static_cast<int>(std::chrono::seconds(5) / tick), HealthyScript);
  EXPECT_NEAR(service.detector.Health("t0", service.now).weight, 0.5, 0.1);
  service.Run(static_cast<int>(std::chrono::seconds(6) / tick), HealthyScript);
  EXPECT_EQ(service.State("t0"), health_state::kHealthy);
}

// Guards against probes that outweigh real requests in either direction.
TEST(OutlierDetectorTest, ProbesAreWeakEvidence) {
  driver service(6);
  service.Run(100, HealthyScript);
  for (int probe = 0; probe < 1'000; ++probe) {
    service.detector.ReportProbe("t0", false, service.now);
  }
  service.Run(1, HealthyScript);
  EXPECT_EQ(service.State("t0"), health_state::kHealthy);
  int failures = 0;
  while (service.State("t0") == health_state::kHealthy && failures < 10) {
    service.detector.ReportProbe("t0", true, service.now);
    service.Run(1, [](const std::string& name, int) {
      return name == "t0" ? driver::Failure() : driver::Success();
    });
    ++failures;
  }
  EXPECT_LE(failures, 3) << "failed probes do not add to the evidence";
  EXPECT_GT(failures, 1) << "failed probes weigh as much as requests";
}

}  // namespace
}  // namespace bulrushshore

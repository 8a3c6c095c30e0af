#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "libraries/health/outlier_detector.h"
#include "tests/health/detector_driver.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kHosts = 3;
constexpr std::uint32_t kFloorPercent = 70;

std::vector<monitored_target> DrawTargets() {
  std::vector<monitored_target> targets;
  const int count = *rc::gen::inRange(1, 9);
  for (int index = 0; index < count; ++index) {
    monitored_target target;
    target.name = std::string(1, static_cast<char>('a' + index));
    target.slots = *rc::gen::inRange<std::uint32_t>(1, 9);
    target.is_draining = *rc::gen::inRange(0, 6) == 0;
    targets.push_back(target);
  }
  return targets;
}

// The slots that must be in use: the floor, or all that do not drain if those
// are fewer.
std::uint32_t RequiredSlots(const std::vector<monitored_target>& targets) {
  std::uint32_t registered = 0;
  std::uint32_t available = 0;
  for (const monitored_target& target : targets) {
    registered += target.slots;
    available += target.is_draining ? 0 : target.slots;
  }
  const std::uint32_t floor = (registered * kFloorPercent + 99) / 100;
  return std::min(floor, available);
}

void ReportAny(outlier_detector& host,
               const std::vector<monitored_target>& targets,
               time_point now) {
  const std::size_t index = *rc::gen::inRange<std::size_t>(0, targets.size());
  const std::string& name = targets[index].name;
  const evidence_type type = *rc::gen::element(
      evidence_type::kSuccess, evidence_type::kFailure, evidence_type::kFailure,
      evidence_type::kTimeout, evidence_type::kConnectionLost,
      evidence_type::kNeutral);
  const duration elapsed =
      std::chrono::milliseconds(*rc::gen::element(10, 20, 500));
  const int repetitions = *rc::gen::inRange(1, 12);
  for (int repetition = 0; repetition < repetitions; ++repetition) {
    host.Report(name, {type, "lookup", elapsed, host.NeedsTrial(name)}, now);
  }
}

// Guards against any interleaving of evidence, draining and changes of the
// configuration that leaves a host, and thereby the fleet, below the floor.
RC_GTEST_PROP(FloorProperty, NoHostFallsBelowTheFloor, ()) {
  health_options options;
  options.is_self_suspicion_enabled = *rc::gen::arbitrary<bool>();
  std::vector<outlier_detector> hosts(kHosts, outlier_detector(options));
  std::vector<monitored_target> targets = DrawTargets();
  time_point now{std::chrono::hours(1)};
  for (outlier_detector& host : hosts) {
    host.SetTargets(targets, kFloorPercent, now);
  }
  const int steps = *rc::gen::inRange(0, 80);
  for (int step = 0; step < steps; ++step) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
    const int action = *rc::gen::inRange(0, 20);
    outlier_detector& host = hosts[*rc::gen::inRange<std::size_t>(0, kHosts)];
    if (action == 0) {
      targets = DrawTargets();
      for (outlier_detector& updated : hosts) {
        updated.SetTargets(targets, kFloorPercent, now);
      }
    } else if (action <= 2) {
      host.Advance(now);
    } else {
      ReportAny(host, targets, now);
    }
    for (const outlier_detector& checked : hosts) {
      RC_ASSERT(checked.SlotsInUse() >= RequiredSlots(targets));
    }
  }
}

// Guards against a fault of many targets that ejects more than the floor
// allows, and against keeping the worst target instead of a less bad one.
TEST(FloorTest, EjectsTheWorstTargetsFirst) {
  health_options options;
  options.is_self_suspicion_enabled = false;
  detector_driver service(10, options);
  const detector_driver::script faulty = [](const std::string& name,
                                            int round) {
    const int index = name.back() - '0';
    const bool is_failure =
        index >= 5 && (index == 9 || round % (11 - index) == 0);
    return is_failure ? detector_driver::Failure() : detector_driver::Success();
  };
  service.Run(
      200, [](const std::string&, int) { return detector_driver::Success(); });
  service.Run(400, faulty);
  EXPECT_EQ(service.detector.FloorSlots(), 42U);
  EXPECT_GE(service.detector.SlotsInUse(), 42U);
  EXPECT_EQ(service.detector.Health("t9", service.now).weight, 0.0);
  EXPECT_EQ(service.detector.Health("t8", service.now).weight, 0.0);
  EXPECT_GT(service.CountEvents(health_event_type::kKeptForFloor), 0U);
}

// Guards against an order of ejection that does not follow the evidence when
// several candidates compete for the allowance.
TEST(FloorTest, TheWorstOfSeveralCandidatesIsEjected) {
  detector_driver service(6);
  const detector_driver::script faulty = [](const std::string& name,
                                            int round) {
    const bool is_failure = name == "t1" || (name == "t0" && round % 3 != 1);
    return is_failure ? detector_driver::Failure() : detector_driver::Success();
  };
  service.Run(
      50, [](const std::string&, int) { return detector_driver::Success(); });
  service.detector.SetTargets(service.targets, 100, service.now);
  service.Run(60, faulty);
  ASSERT_EQ(service.CountEvents(health_event_type::kKeptForFloor), 2U);
  service.detector.SetTargets(service.targets, 70, service.now);
  service.Run(1, faulty);
  EXPECT_EQ(service.State("t0"), health_state::kReducedWeight);
  EXPECT_EQ(service.State("t1"), health_state::kEjected);
}

// Guards against a target that is only slow and takes up the allowance while
// another one fails all its requests.
TEST(FloorTest, AnEjectedTargetMakesRoomForAWorseOne) {
  detector_driver service(6);
  const duration slow = 5 * detector_driver::kUsualTime;
  service.Run(
      50, [](const std::string&, int) { return detector_driver::Success(); });
  service.Run(40, [slow](const std::string& name, int) {
    return detector_driver::Success(name == "t0" ? slow
                                                 : detector_driver::kUsualTime);
  });
  ASSERT_EQ(service.State("t0"), health_state::kEjected);
  service.Run(120, [slow](const std::string& name, int) {
    return name == "t1"
               ? detector_driver::Failure()
               : detector_driver::Success(
                     name == "t0" ? slow : detector_driver::kUsualTime);
  });
  EXPECT_EQ(service.State("t1"), health_state::kEjected);
  EXPECT_EQ(service.State("t0"), health_state::kReducedWeight);
}

// Guards against draining that adds to ejections beyond the floor.
TEST(FloorTest, DrainingUsesTheSameAllowance) {
  detector_driver service(6);
  service.Run(
      50, [](const std::string&, int) { return detector_driver::Success(); });
  service.Run(30, [](const std::string& name, int) {
    return name == "t0" ? detector_driver::Failure()
                        : detector_driver::Success();
  });
  ASSERT_EQ(service.State("t0"), health_state::kEjected);
  service.targets[1].is_draining = true;
  service.detector.SetTargets(service.targets, 70, service.now);
  EXPECT_EQ(service.State("t0"), health_state::kReducedWeight);
  EXPECT_GE(service.detector.SlotsInUse(), service.detector.FloorSlots());
  const std::vector<health_event> events = service.detector.TakeEvents();
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events.front().type, health_event_type::kReadmitted);
  EXPECT_EQ(events.front().reason, health_reason::kFloor);
}

// Guards against a target with full traffic although it fails all requests.
TEST(FloorTest, KeepsCandidatesBeyondTheAllowanceWithLessWeight) {
  detector_driver service(6);
  service.Run(
      50, [](const std::string&, int) { return detector_driver::Success(); });
  service.Run(40, [](const std::string& name, int) {
    return name <= "t1" ? detector_driver::Failure()
                        : detector_driver::Success();
  });
  EXPECT_EQ(service.detector.SlotsInUse(), 30U);
  EXPECT_EQ(service.CountEvents(health_event_type::kKeptForFloor), 1U);
  const double weight = service.detector.Health("t0", service.now).weight +
                        service.detector.Health("t1", service.now).weight;
  EXPECT_DOUBLE_EQ(weight, 0.2);
}

// Guards against the ejection of a kept target for its past, when another
// target returns and leaves room for an ejection.
TEST(FloorTest, DoesNotEjectAKeptTargetThatHasRecovered) {
  health_options options;
  options.first_ejection_time = std::chrono::seconds(1);
  options.trials_to_readmit = 1;
  detector_driver service(6, options);
  const detector_driver::script healthy = [](const std::string&, int) {
    return detector_driver::Success();
  };
  service.Run(50, healthy);
  service.Run(12, [](const std::string& name, int) {
    return name <= "t1" ? detector_driver::Failure()
                        : detector_driver::Success();
  });
  ASSERT_EQ(service.CountEvents(health_event_type::kKeptForFloor), 1U);
  service.events.clear();
  service.Run(200, healthy);
  EXPECT_EQ(service.CountEvents(health_event_type::kEjected), 0U);
  EXPECT_EQ(service.State("t0"), health_state::kHealthy);
  EXPECT_EQ(service.State("t1"), health_state::kHealthy);
}

// Guards against the ejection of a kept target for its past by an answer that
// is good, or bad in another way, while little traffic shows the others.
TEST(FloorTest, OnlyANewFailureEjectsAKeptTarget) {
  detector_driver service(6);
  service.Run(
      50, [](const std::string&, int) { return detector_driver::Success(); });
  service.Run(20, [](const std::string& name, int) {
    return name <= "t1" ? detector_driver::Failure()
                        : detector_driver::Success();
  });
  const std::string kept =
      service.State("t0") == health_state::kReducedWeight ? "t0" : "t1";
  ASSERT_EQ(service.State(kept), health_state::kReducedWeight);
  service.detector.SetTargets(service.targets, 50, service.now);
  service.now += detector_driver::kRound;
  const duration slow = 10 * detector_driver::kUsualTime;
  service.detector.Report(kept, detector_driver::Success(), service.now);
  EXPECT_EQ(service.State(kept), health_state::kReducedWeight);
  service.now += detector_driver::kRound;
  service.detector.Report(kept, detector_driver::Success(slow), service.now);
  EXPECT_EQ(service.State(kept), health_state::kReducedWeight);
  service.now += detector_driver::kRound;
  service.detector.Report(kept, detector_driver::Failure(), service.now);
  EXPECT_EQ(service.State(kept), health_state::kEjected);
}

}  // namespace
}  // namespace bulrushshore

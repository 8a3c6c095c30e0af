#include "libraries/dispatch/service_controller.h"

#include <set>

#include <gtest/gtest.h>

#include "tests/dispatch/catalog_builder.h"

namespace bulrushshore {
namespace {

class ServiceControllerTest : public ::testing::Test {
 protected:
  void Start(const catalog_snapshot& catalog,
             const service_policy& policy = {}) {
    controller = std::make_unique<service_controller>(
        "archive", "a", policy, std::make_unique<seeded_random>(1));
    controller->Apply(Share(catalog), now);
  }

  acquire_request MakeRequest(const std::string& kind = "lookup") const {
    acquire_request request;
    request.service = "archive";
    request.kind = kind;
    request.organisation = "reseller";
    request.deadline = now + std::chrono::seconds(2);
    return request;
  }

  // Enters a request and returns its decision, or nothing if it waits.
  std::optional<acquire_outcome> Acquire(const acquire_request& request) {
    const std::vector<acquire_decision> decisions =
        controller->Acquire(++last_request, request, now);
    return decisions.empty()
               ? std::nullopt
               : std::optional<acquire_outcome>(decisions.back().outcome);
  }

  grant MustStart(const acquire_request& request) {
    const std::optional<acquire_outcome> outcome = Acquire(request);
    return std::get<grant>(outcome.value());
  }

  refusal_reason MustRefuse(const acquire_request& request) {
    const std::optional<acquire_outcome> outcome = Acquire(request);
    return std::get<refusal>(outcome.value()).reason;
  }

  std::vector<acquire_decision> Release(
      std::uint64_t grant_id,
      attempt_result outcome = attempt_result::kSuccess,
      duration elapsed = std::chrono::milliseconds(20)) {
    attempt_report report;
    report.outcome = outcome;
    report.elapsed = elapsed;
    return controller->Release(grant_id, report, now);
  }

  // Runs `count` requests one after the other.
  void RunRequests(int count,
                   const std::string& kind = "lookup",
                   duration elapsed = std::chrono::milliseconds(20)) {
    for (int request = 0; request < count; ++request) {
      Release(MustStart(MakeRequest(kind)).id, attempt_result::kSuccess,
              elapsed);
    }
  }

  std::unique_ptr<service_controller> controller;
  time_point now{std::chrono::hours(1)};
  std::uint64_t last_request = 0;
};

// Guards against more requests on a target than it has slots, and against
// slots that are lost or given twice.
TEST_F(ServiceControllerTest, GrantsEachSlotOnce) {
  Start(MakeCatalog(2, 2));
  std::vector<grant> grants;
  grants.reserve(4);
  for (int request = 0; request < 4; ++request) {
    grants.push_back(MustStart(MakeRequest()));
  }
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  EXPECT_EQ(controller->queue_length(), 1U);
  const std::vector<acquire_decision> freed = Release(grants[0].id);
  ASSERT_EQ(freed.size(), 1U);
  EXPECT_EQ(freed.front().request_id, last_request);
  EXPECT_EQ(std::get<grant>(freed.front().outcome).chosen.name,
            grants[0].chosen.name);
  EXPECT_TRUE(Release(grants[0].id).empty());
  EXPECT_EQ(controller->in_flight(), 4U);
}

// Guards against requests that wait longer than the service's patience.
TEST_F(ServiceControllerTest, RefusesAfterThePatience) {
  Start(MakeCatalog(1, 1));
  MustStart(MakeRequest());
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  ASSERT_EQ(controller->NextWakeup(now), now + std::chrono::milliseconds(500));
  now += std::chrono::milliseconds(500);
  const std::vector<acquire_decision> expired = controller->Advance(now);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(std::get<refusal>(expired.front().outcome).reason,
            refusal_reason::kQueueTimeout);
  EXPECT_EQ(controller->queue_length(), 0U);
}

// Guards against queueing work that will miss its deadline anyway.
TEST_F(ServiceControllerTest, RefusesAtOnceWhatCannotMeetItsDeadline) {
  Start(MakeCatalog(1, 1));
  RunRequests(20, "lookup", std::chrono::milliseconds(100));
  MustStart(MakeRequest());
  acquire_request urgent = MakeRequest();
  urgent.deadline = now + std::chrono::milliseconds(150);
  EXPECT_EQ(MustRefuse(urgent), refusal_reason::kDeadlineTooShort);
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  urgent.deadline = now;
  EXPECT_EQ(MustRefuse(urgent), refusal_reason::kDeadlineTooShort);
}

// Guards against long work that fills all slots while short work waits.
TEST_F(ServiceControllerTest, KeepsHalfOfTheSlotsForWaitingShortWork) {
  Start(MakeCatalog(1, 6));
  RunRequests(40);
  RunRequests(20, "photo", std::chrono::milliseconds(400));
  RunRequests(40);
  std::vector<std::uint64_t> running;
  running.reserve(6);
  for (int request = 0; request < 6; ++request) {
    running.push_back(MustStart(MakeRequest()).id);
  }
  acquire_request photo = MakeRequest("photo");
  for (int request = 0; request < 6; ++request) {
    EXPECT_FALSE(Acquire(photo).has_value());
  }
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  std::size_t started = 0;
  for (const std::uint64_t grant_id : running) {
    started += Release(grant_id).size();
  }
  EXPECT_EQ(started, 4U) << "three long requests and the short one";
  now += std::chrono::seconds(1);
  EXPECT_EQ(controller->Advance(now).size(), 3U);
}

// Guards against long work that fills what targets shared with other hosts
// bear, although it stays below half of the slots of each.
TEST_F(ServiceControllerTest, LimitsLongWorkToHalfOfWhatTheTargetsBear) {
  Start(MakeCatalog(4, 6));
  RunRequests(40);
  RunRequests(20, "photo", std::chrono::milliseconds(400));
  RunRequests(40);
  for (int index = 0; index < 4; ++index) {
    acquire_request directed = MakeRequest();
    for (int other = 0; other < 4; ++other) {
      if (other != index) {
        directed.excluded_targets.push_back("t" + std::to_string(other));
      }
    }
    const std::uint64_t first = MustStart(directed).id;
    const std::uint64_t second = MustStart(directed).id;
    Release(first, attempt_result::kShed);
    Release(second);
  }
  std::vector<std::uint64_t> running;
  running.reserve(4);
  for (int request = 0; request < 4; ++request) {
    running.push_back(MustStart(MakeRequest()).id);
  }
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  for (const std::uint64_t grant_id : running) {
    Release(grant_id);
  }
  std::size_t started = 0;
  for (int request = 0; request < 4; ++request) {
    started += Acquire(MakeRequest("photo")).has_value() ? 1 : 0;
  }
  EXPECT_EQ(started, 2U);
}

// Guards against an organisation that takes all slots by sending the most.
TEST_F(ServiceControllerTest, SharesSlotsBetweenOrganisations) {
  catalog_snapshot catalog = MakeCatalog(1, 1);
  catalog.contents.organisations.Set({"heavy", 2});
  Start(catalog);
  std::uint64_t running = MustStart(MakeRequest()).id;
  std::set<std::uint64_t> heavy_ids;
  for (int request = 0; request < 30; ++request) {
    EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  }
  for (int request = 0; request < 10; ++request) {
    acquire_request other = MakeRequest();
    other.organisation = "heavy";
    EXPECT_FALSE(Acquire(other).has_value());
    heavy_ids.insert(last_request);
  }
  int heavy_turns = 0;
  for (int turn = 0; turn < 9; ++turn) {
    const std::vector<acquire_decision> next = Release(running);
    ASSERT_EQ(next.size(), 1U);
    running = std::get<grant>(next.front().outcome).id;
    heavy_turns += heavy_ids.contains(next.front().request_id) ? 1 : 0;
  }
  EXPECT_EQ(heavy_turns, 6);
}

// Guards against traffic that a shedding target attracts because it never has
// requests in flight, and against waiting work that nothing starts later.
TEST_F(ServiceControllerTest, PausesATargetThatShedsAndResumesByItself) {
  Start(MakeCatalog(1, 1));
  Release(MustStart(MakeRequest()).id, attempt_result::kShed);
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  ASSERT_EQ(controller->NextWakeup(now), now + std::chrono::milliseconds(20));
  now += std::chrono::milliseconds(20);
  EXPECT_EQ(controller->Advance(now).size(), 1U);
}

// Guards against full traffic to a target that has just been added.
TEST_F(ServiceControllerTest, ANewTargetStartsWithLittleTraffic) {
  Start(MakeCatalog(5));
  controller->Apply(Share(MakeCatalog(6)), now);
  const target_status added = controller->Status(now).targets.back();
  EXPECT_EQ(added.state, health_state::kSlowStart);
  EXPECT_EQ(added.reason, health_reason::kNewTarget);
  EXPECT_LT(added.weight, 0.2);
}

// Guards against blaming a new process for its predecessor of the same name.
TEST_F(ServiceControllerTest, AChangedAddressMakesANewTarget) {
  catalog_snapshot catalog = MakeCatalog(6);
  Start(catalog);
  for (int request = 0; request < 400; ++request) {
    now += std::chrono::milliseconds(10);
    const grant started = MustStart(MakeRequest());
    Release(started.id, started.chosen.name == "t0"
                            ? attempt_result::kServerError
                            : attempt_result::kSuccess);
  }
  ASSERT_EQ(controller->Status(now).targets[0].state, health_state::kEjected);
  catalog.contents.targets["archive/t0"].address.port = 9002;
  controller->Apply(Share(catalog), now);
  EXPECT_EQ(controller->Status(now).targets[0].state, health_state::kSlowStart);
}

// Guards against retry tokens that are lost with refused retries.
TEST_F(ServiceControllerTest, ARefusedRetryCostsNoToken) {
  Start(MakeCatalog(1, 1));
  MustStart(MakeRequest());
  acquire_request retry = MakeRequest();
  retry.attempt = 1;
  retry.excluded_targets = {"t0"};
  for (int attempt = 0; attempt < 10; ++attempt) {
    EXPECT_EQ(MustRefuse(retry), refusal_reason::kNoTarget);
  }
}

// Guards against retries without a bound.
TEST_F(ServiceControllerTest, ChargesRetriesToTheBudget) {
  Start(MakeCatalog(3));
  acquire_request retry = MakeRequest();
  retry.attempt = 1;
  for (int request = 0; request < 3; ++request) {
    MustStart(retry);
  }
  EXPECT_EQ(MustRefuse(retry), refusal_reason::kRetryBudgetExhausted);
}

// Guards against a retry on the target that just failed.
TEST_F(ServiceControllerTest, NeverChoosesAnExcludedTarget) {
  Start(MakeCatalog(2));
  acquire_request request = MakeRequest();
  request.excluded_targets = {"t0"};
  for (int attempt = 0; attempt < 6; ++attempt) {
    EXPECT_EQ(MustStart(request).chosen.name, "t1");
  }
  request.excluded_targets = {"t0", "t1"};
  EXPECT_EQ(MustRefuse(request), refusal_reason::kNoTarget);
}

// Guards against new work on a draining target, whichever way the host learns
// of it.
TEST_F(ServiceControllerTest, SendsNoWorkToDrainingTargets) {
  catalog_snapshot catalog = MakeCatalog(4);
  Start(catalog);
  catalog.contents.targets["archive/t0"].state = target_state::kDraining;
  controller->Apply(Share(catalog), now);
  controller->SetDrainingMachines({"10.0.0.2"}, now);
  controller->ReportProbe("t2", {true, true}, now);
  for (int request = 0; request < 6; ++request) {
    EXPECT_EQ(MustStart(MakeRequest()).chosen.name, "t3");
  }
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  EXPECT_EQ(controller->ReportProbe("t2", {true, false}, now).size(), 1U)
      << "the target does not return when its signal ends";
}

// Guards against a target that keeps getting work after its own signal, and
// against one that is lost because its signal never ends.
TEST_F(ServiceControllerTest, ADrainingSignalOnAnAnswerCountsForALimitedTime) {
  Start(MakeCatalog(2));
  const grant first = MustStart(MakeRequest());
  attempt_report report;
  report.is_draining = true;
  controller->Release(first.id, report, now);
  for (int request = 0; request < 6; ++request) {
    EXPECT_NE(MustStart(MakeRequest()).chosen.name, first.chosen.name);
  }
  now += std::chrono::minutes(5);
  controller->Advance(now);
  EXPECT_EQ(MustStart(MakeRequest()).chosen.name, first.chosen.name);
}

// Guards against cutting off work in flight, or giving its slot twice, when a
// target is withdrawn and added again.
TEST_F(ServiceControllerTest, WorkOnAWithdrawnTargetEndsNormally) {
  const catalog_snapshot full = MakeCatalog(2, 1);
  catalog_snapshot reduced = full;
  reduced.contents.targets.erase("archive/t1");
  Start(full);
  std::uint64_t old_grant = 0;
  for (int request = 0; request < 2; ++request) {
    const grant started = MustStart(MakeRequest());
    old_grant = started.chosen.name == "t1" ? started.id : old_grant;
  }
  controller->Apply(Share(reduced), now);
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  EXPECT_EQ(controller->Apply(Share(full), now).size(), 1U);
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  EXPECT_TRUE(Release(old_grant).empty())
      << "the slot of the new entry was given twice";
}

// Guards against waiting requests that are forgotten with their service.
TEST_F(ServiceControllerTest, RefusesWaitingWorkOfAWithdrawnService) {
  Start(MakeCatalog(1, 1));
  MustStart(MakeRequest());
  EXPECT_FALSE(Acquire(MakeRequest()).has_value());
  const std::vector<acquire_decision> refused =
      controller->Apply(Share(catalog_snapshot{}), now);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(std::get<refusal>(refused.front().outcome).reason,
            refusal_reason::kUnknownService);
  EXPECT_EQ(MustRefuse(MakeRequest()), refusal_reason::kUnknownService);
}

// Guards against a request that crashes one target after the other.
TEST_F(ServiceControllerTest, HoldsBackARequestThatCostTwoTargets) {
  Start(MakeCatalog(6));
  acquire_request request = MakeRequest();
  request.fingerprint = 77;
  const grant first = MustStart(request);
  Release(first.id, attempt_result::kConnectionLost);
  request.excluded_targets = {first.chosen.name};
  Release(MustStart(request).id, attempt_result::kConnectionLost);
  EXPECT_EQ(MustRefuse(request), refusal_reason::kHeldBack);
  EXPECT_EQ(controller->TakeHoldEvents().size(), 1U);
  EXPECT_EQ(controller->Status(now).held_fingerprints.size(), 1U);
  EXPECT_TRUE(controller->ReleaseFingerprint(77, now));
  MustStart(request);
}

// Guards against a crash that goes unnoticed because the connection was a
// pooled one, and against blaming a request that was never sent.
TEST_F(ServiceControllerTest, CountsLossesOnPooledConnectionsOnlyIfSent) {
  Start(MakeCatalog(6));
  acquire_request request = MakeRequest();
  request.fingerprint = 77;
  const grant first = MustStart(request);
  attempt_report not_sent;
  not_sent.outcome = attempt_result::kStaleConnection;
  not_sent.may_have_started = false;
  controller->Release(first.id, not_sent, now);
  request.excluded_targets = {first.chosen.name};
  const grant second = MustStart(request);
  Release(second.id, attempt_result::kStaleConnection);
  request.excluded_targets.push_back(second.chosen.name);
  Release(MustStart(request).id, attempt_result::kConnectionLost);
  EXPECT_EQ(MustRefuse(request), refusal_reason::kHeldBack);
}

// Guards against a request that costs two more targets on each host.
TEST_F(ServiceControllerTest, CountsLossesThatOtherHostsReport) {
  Start(MakeCatalog(6));
  acquire_request request = MakeRequest();
  request.fingerprint = 77;
  controller->RecordLoss(77, "archive-1", now);
  controller->RecordLoss(77, "archive-1", now);
  Release(MustStart(request).id, attempt_result::kShed);
  controller->RecordLoss(77, "archive-2", now);
  EXPECT_EQ(MustRefuse(request), refusal_reason::kHeldBack);
}

// Guards against an ejected target that is not tried again, or that gets more
// than one request at a time for it.
TEST_F(ServiceControllerTest, TriesAnEjectedTargetWithSingleRequests) {
  Start(MakeCatalog(6));
  std::string failing;
  for (int request = 0; request < 400; ++request) {
    now += std::chrono::milliseconds(10);
    const grant started = MustStart(MakeRequest());
    Release(started.id, started.chosen.name == "t0"
                            ? attempt_result::kServerError
                            : attempt_result::kSuccess);
  }
  ASSERT_EQ(controller->Status(now).targets[0].state, health_state::kEjected);
  now += std::chrono::seconds(5);
  controller->Advance(now);
  int trials = 0;
  for (int request = 0; request < 6; ++request) {
    const grant started = MustStart(MakeRequest());
    trials += started.is_trial ? 1 : 0;
    EXPECT_EQ(started.is_trial, started.chosen.name == "t0");
  }
  EXPECT_EQ(trials, 1);
}

}  // namespace
}  // namespace bulrushshore

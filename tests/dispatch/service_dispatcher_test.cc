#include "libraries/dispatch/service_dispatcher.h"

#include <thread>

#include <gtest/gtest.h>
#include <caf/actor_system_config.hpp>
#include <caf/scheduler/test_coordinator.hpp>

#include "tests/dispatch/catalog_builder.h"

namespace bulrushshore {
namespace {

class testing_config : public caf::actor_system_config {
 public:
  testing_config() { set("scheduler.policy", caf::atom("testing")); }
};

// Runs the dispatcher on CAF's testing scheduler with a paused clock.
class ServiceDispatcherTest : public ::testing::Test {
 protected:
  void SetUp() override {
    dispatch = std::make_unique<service_dispatcher>(
        system, service_dispatcher_options{"host-1", "a", {}, 1, false}, audit,
        metrics);
    dispatch->Apply(Share(MakeCatalog(1, 1)));
    Settle();
  }

  void TearDown() override {
    dispatch.reset();
    Settle();
  }

  caf::scheduler::test_coordinator& scheduler() {
    return dynamic_cast<caf::scheduler::test_coordinator&>(system.scheduler());
  }

  void Settle() {
    while (scheduler().try_run_once()) {
    }
  }

  void AdvanceTime(duration step) {
    scheduler().advance_time(step);
    Settle();
  }

  acquire_request MakeRequest() {
    acquire_request request;
    request.service = "archive";
    request.kind = "lookup";
    request.deadline = system.clock().now() + std::chrono::seconds(2);
    return request;
  }

  std::future<acquire_outcome> Begin(const acquire_request& request) {
    std::future<acquire_outcome> outcome = dispatch->BeginAcquire(request);
    Settle();
    return outcome;
  }

  static bool IsReady(const std::future<acquire_outcome>& outcome) {
    return outcome.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  }

  testing_config config;
  caf::actor_system system{config};
  audit_log audit{100};
  metric_registry metrics;
  std::unique_ptr<service_dispatcher> dispatch;
};

// Guards against a slot that does not pass on to the waiting request.
TEST_F(ServiceDispatcherTest, PassesASlotOnWhenItIsReleased) {
  std::future<acquire_outcome> first = Begin(MakeRequest());
  ASSERT_TRUE(IsReady(first));
  std::future<acquire_outcome> second = Begin(MakeRequest());
  EXPECT_FALSE(IsReady(second));
  dispatch->Release("archive", std::get<grant>(first.get()).id, {});
  Settle();
  ASSERT_TRUE(IsReady(second));
  EXPECT_TRUE(std::holds_alternative<grant>(second.get()));
}

// Guards against a waiting request that nothing wakes up.
TEST_F(ServiceDispatcherTest, RefusesWaitingRequestsByTheClock) {
  std::future<acquire_outcome> first = Begin(MakeRequest());
  std::future<acquire_outcome> second = Begin(MakeRequest());
  AdvanceTime(std::chrono::milliseconds(499));
  EXPECT_FALSE(IsReady(second));
  AdvanceTime(std::chrono::milliseconds(2));
  ASSERT_TRUE(IsReady(second));
  EXPECT_EQ(std::get<refusal>(second.get()).reason,
            refusal_reason::kQueueTimeout);
}

// Guards against a target that stays out because no message wakes the actor.
TEST_F(ServiceDispatcherTest, EjectsAndTriesAgainByTheClock) {
  dispatch->Apply(Share(MakeCatalog(6)));
  Settle();
  for (int request = 0; request < 400; ++request) {
    AdvanceTime(std::chrono::milliseconds(10));
    std::future<acquire_outcome> outcome = Begin(MakeRequest());
    const grant started = std::get<grant>(outcome.get());
    attempt_report report;
    report.elapsed = std::chrono::milliseconds(5);
    report.outcome = started.chosen.name == "t3" ? attempt_result::kServerError
                                                 : attempt_result::kSuccess;
    dispatch->Release("archive", started.id, report);
    Settle();
  }
  ASSERT_FALSE(audit.Records().empty());
  EXPECT_EQ(audit.Records().front().action, "target_ejected");
  EXPECT_EQ(audit.Records().front().subject, "archive/t3");
  EXPECT_EQ(audit.Records().front().actor, "host-1");
  EXPECT_NE(audit.Records().front().detail.find("reason=failures"),
            std::string::npos);
  AdvanceTime(std::chrono::seconds(301));
  EXPECT_EQ(audit.Records().back().action, "target_trial_started");
  EXPECT_NE(metrics.RenderText().find("bulrush_dispatch_health_events_total"),
            std::string::npos);
}

// Guards against requests that are neither answered nor refused at the end.
TEST_F(ServiceDispatcherTest, RefusesWaitingRequestsWhenItStops) {
  std::future<acquire_outcome> first = Begin(MakeRequest());
  std::future<acquire_outcome> second = Begin(MakeRequest());
  dispatch.reset();
  Settle();
  ASSERT_TRUE(IsReady(second));
  EXPECT_EQ(std::get<refusal>(second.get()).reason,
            refusal_reason::kShuttingDown);
}

// Guards against new work during a graceful shutdown and against cutting off
// work that waits or runs.
TEST_F(ServiceDispatcherTest, AGracefulShutdownFinishesAcceptedWork) {
  std::future<acquire_outcome> first = Begin(MakeRequest());
  std::future<acquire_outcome> second = Begin(MakeRequest());
  dispatch->BeginShutdown();
  std::future<acquire_outcome> third = Begin(MakeRequest());
  ASSERT_TRUE(IsReady(third));
  EXPECT_EQ(std::get<refusal>(third.get()).reason,
            refusal_reason::kShuttingDown);
  dispatch->Release("archive", std::get<grant>(first.get()).id, {});
  Settle();
  ASSERT_TRUE(IsReady(second));
  EXPECT_TRUE(std::holds_alternative<grant>(second.get()));
}

// Guards against new work on a machine that is leaving.
TEST_F(ServiceDispatcherTest, SendsNoWorkToLeavingMachines) {
  dispatch->Apply(Share(MakeCatalog(2, 2)));
  dispatch->SetDrainingMachines({"10.0.0.1"});
  Settle();
  for (int request = 0; request < 2; ++request) {
    EXPECT_EQ(std::get<grant>(Begin(MakeRequest()).get()).chosen.name, "t1");
  }
  std::future<acquire_outcome> waiting = Begin(MakeRequest());
  EXPECT_FALSE(IsReady(waiting));
  dispatch->SetDrainingMachines({});
  Settle();
  EXPECT_TRUE(IsReady(waiting));
  dispatch->ReportProbe("archive", "t1", {true, true});
  Settle();
  EXPECT_EQ(metrics
                .GetGauge("bulrush_dispatch_slots_in_use", "",
                          {{"service", "archive"}})
                .value(),
            2);
}

// Guards against a host that does not notice that it is the one at fault, and
// against one that reports a fault of a service as its own.
TEST_F(ServiceDispatcherTest, SuspectsItselfOnlyIfMostServicesFail) {
  catalog_snapshot catalog = MakeCatalog(6);
  catalog.contents.services["photo"] = catalog.contents.services["archive"];
  catalog.contents.services["photo"].name = "photo";
  target photo_target = catalog.contents.targets["archive/t0"];
  photo_target.service = "photo";
  catalog.contents.targets["photo/t0"] = photo_target;
  dispatch->Apply(Share(catalog));
  Settle();
  const auto send = [this](const std::string& service, attempt_result outcome) {
    AdvanceTime(std::chrono::milliseconds(50));
    acquire_request request = MakeRequest();
    request.service = service;
    const grant started = std::get<grant>(Begin(request).get());
    attempt_report report;
    report.outcome = outcome;
    dispatch->Release(service, started.id, report);
    Settle();
  };
  for (int request = 0; request < 60; ++request) {
    send("archive", attempt_result::kConnectFailed);
  }
  EXPECT_TRUE(dispatch->IsSelfSuspect());
  EXPECT_EQ(audit.Records().front().action, "host_suspected");
  send("photo", attempt_result::kSuccess);
  EXPECT_FALSE(dispatch->IsSelfSuspect());
}

// Guards against a grant that nobody uses and that keeps its slot.
TEST_F(ServiceDispatcherTest, AnAbandonedRequestKeepsNoSlot) {
  acquire_request late = MakeRequest();
  late.deadline = system.clock().now() + std::chrono::seconds(1);
  // The waiting thread measures the deadline by the real clock, which is far
  // beyond the paused one, and gives up at once.
  const acquire_outcome outcome = dispatch->Acquire(late);
  EXPECT_EQ(std::get<refusal>(outcome).reason, refusal_reason::kQueueTimeout);
  Settle();
  std::future<acquire_outcome> next = Begin(MakeRequest());
  ASSERT_TRUE(IsReady(next));
  EXPECT_TRUE(std::holds_alternative<grant>(next.get()));
}

// Guards against a request for a service that is not, or no longer, known.
TEST_F(ServiceDispatcherTest, RefusesUnknownAndWithdrawnServices) {
  acquire_request request = MakeRequest();
  request.service = "photo";
  EXPECT_EQ(std::get<refusal>(Begin(request).get()).reason,
            refusal_reason::kUnknownService);
  std::future<acquire_outcome> running = Begin(MakeRequest());
  dispatch->Apply(Share(catalog_snapshot{}));
  Settle();
  EXPECT_EQ(std::get<refusal>(Begin(MakeRequest()).get()).reason,
            refusal_reason::kUnknownService);
  dispatch->Release("archive", std::get<grant>(running.get()).id, {});
  Settle();
}

// Runs the dispatcher on worker threads and the real clock. Guards against
// threads that wait for ever, and against slots that leak or are given twice.
TEST(ServiceDispatcherThreadsTest, ManyThreadsShareFewSlots) {
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom("sharing"));
  config.set("scheduler.max-threads", 2);
  caf::actor_system system{config};
  audit_log audit(100);
  metric_registry metrics;
  service_dispatcher dispatch(system, {"host-1", "a", {}, 1}, audit, metrics);
  dispatch.Apply(Share(MakeCatalog(2, 2)));
  std::atomic<int> running{0};
  std::atomic<int> most_running{0};
  std::atomic<int> granted{0};
  std::vector<std::thread> callers;
  callers.reserve(8);
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&] {
      for (int request = 0; request < 200; ++request) {
        acquire_request wanted;
        wanted.service = "archive";
        wanted.deadline =
            system.clock().now() + std::chrono::milliseconds(request % 7);
        const acquire_outcome outcome = dispatch.Acquire(wanted);
        const grant* const started = std::get_if<grant>(&outcome);
        if (started == nullptr) {
          continue;
        }
        const int now_running = ++running;
        int most = most_running;
        while (now_running > most &&
               !most_running.compare_exchange_weak(most, now_running)) {
        }
        ++granted;
        --running;
        dispatch.Release("archive", started->id, {});
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_GT(granted, 0);
  EXPECT_FALSE(dispatch.ReleaseFingerprint(42));
  EXPECT_LE(most_running, 4);
  const std::vector<service_status> statuses = dispatch.Status();
  ASSERT_EQ(statuses.size(), 1U);
  EXPECT_EQ(statuses[0].queue_length, 0U);
  for (const target_status& target : statuses[0].targets) {
    EXPECT_EQ(target.in_flight, 0U);
  }
}

}  // namespace
}  // namespace bulrushshore

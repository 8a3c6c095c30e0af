#include "utilities/caller_tool/load_run.h"

#include <gtest/gtest.h>

#include "tests/caller/fake_transport.h"
#include "utilities/caller_tool/load_report.h"

namespace bulrushshore {
namespace {

// Answers each request after the next of `delays`.
class slow_transport : public caller_transport {
 public:
  slow_transport(manual_clock& time, std::deque<duration> delays)
      : clock_(time), delays_(std::move(delays)) {}

  transport_result Exchange(const endpoint& /*address*/,
                            const transport_request& /*request*/,
                            duration /*timeout*/) override {
    if (!delays_.empty()) {
      clock_.Advance(delays_.front());
      delays_.pop_front();
    }
    return transport_response{200, {}, ""};
  }

 private:
  manual_clock& clock_;
  std::deque<duration> delays_;
};

// Guards against a load run that stops sending during a stall and so leaves
// out the latencies that callers would have had (coordinated omission).
TEST(LoadRunTest, CountsLatencyFromThePlannedArrival) {
  manual_clock time;
  slow_transport transport(time, {std::chrono::seconds(1)});
  advancing_timer timer(time);
  host_list list;
  list.fetched_at = time.Now();
  list.hosts = {{"h1", Address(1), "", ""}};
  fixed_host_resolver resolver(list);
  seeded_random random(1);
  caller client(caller_options{}, resolver, transport, timer, time, random);
  history_recorder recorder(nullptr);
  const std::vector<work_kind> kinds = {
      {"s", "k", "/", 1, repeat_policy::kIdempotent, std::nullopt}};
  arrival_plan plan;
  plan.requests_per_second = 10.0;
  plan.length = std::chrono::seconds(1);
  load_run_options options;
  options.concurrency = 1;
  const load_totals totals = RunLoad(options, PlanArrivals(plan, kinds, random),
                                     client, recorder, timer, time);
  const latency_histogram& latencies = totals.at("s/k").latencies;
  EXPECT_EQ(latencies.count(), 10U);
  EXPECT_EQ(latencies.maximum(), std::chrono::seconds(1));
  // The second request waits 900 ms, the sixth 500 ms, the last 100 ms.
  EXPECT_NEAR(ToMilliseconds(latencies.Percentile(50.0)).count(), 500, 101);
  EXPECT_GT(latencies.Percentile(10.0), std::chrono::milliseconds(95));
}

// Guards against percentiles that are off by more than the stated error.
TEST(LatencyHistogramTest, ReportsPercentilesWithinTheStatedError) {
  latency_histogram first;
  latency_histogram second;
  for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds) {
    latency_histogram& part = milliseconds % 2 == 0 ? first : second;
    part.Add(std::chrono::milliseconds(milliseconds));
  }
  first.Merge(second);
  EXPECT_EQ(first.count(), 1000U);
  for (const double percent : {1.0, 50.0, 99.0, 99.9}) {
    const double expected_us = percent * 10'000.0;
    const std::chrono::duration<double, std::micro> measured =
        first.Percentile(percent);
    EXPECT_NEAR(measured.count(), expected_us, expected_us * 0.003) << percent;
  }
  EXPECT_EQ(latency_histogram().Percentile(99.0), duration::zero());
}

// Guards against a table that fails on a run without any answer.
TEST(LoadReportTest, DescribesARunWithoutAnswers) {
  load_totals totals;
  totals["s/k"].outcomes["not_run"] = 2;
  const nlohmann::json report = DescribeLoad(totals);
  EXPECT_EQ(report["kinds"][1]["requests"], 2);
  EXPECT_EQ(report["kinds"][1]["answered"], 0);
  EXPECT_NE(FormatLoadTable(report).find("not_run"), std::string::npos);
}

// Guards against a run of several kinds whose report does not tell why calls
// were not answered.
TEST(LoadReportTest, CountsTheReasonsOfAllKinds) {
  load_totals totals;
  totals["s/first"].failures["refused:no-route"] = 1;
  totals["s/second"].failures["refused:no-route"] = 2;
  totals["s/second"].failures["unknown:timed-out"] = 4;
  const nlohmann::json all = DescribeLoad(totals)["kinds"].back();
  EXPECT_EQ(all["failures"], nlohmann::json({{"refused:no-route", 3},
                                             {"unknown:timed-out", 4}}));
}

}  // namespace
}  // namespace bulrushshore

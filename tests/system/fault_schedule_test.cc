// Runs schedules of faults drawn at random against real processes and lets the
// history checker judge. Only safety is judged, and that some operations were
// answered: neither depends on the speed of the machine.

#include <cstdint>
#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "tests/system/fault_schedule.h"
#include "tests/system/history_verdict.h"
#include "tests/system/process_fleet.h"
#include "tests/system/schedule_runner.h"

namespace bulrushshore {
namespace {

void PrintSchedule(const fault_schedule& schedule) {
  for (const fault& value : schedule) {
    std::cout << "fault " << value << "\n";
  }
}

// Guards against keys that run twice, work that ran although its caller was
// told "not run", and answers that are cut, swapped or lost.
RC_GTEST_PROP(FaultScheduleTest, HistoriesHoldNoViolation, ()) {
  const fault_schedule schedule = *AnyFaultSchedule();
  const std::uint32_t seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
  process_fleet fleet(seed);
  RC_ASSERT(fleet.Start());
  schedule_runner runner(fleet, schedule, seed);
  const bool is_complete = runner.Run() && fleet.Stop();
  const result<operation_history> history = ReadHistories(fleet.folder());
  if (!is_complete || !IsOk(history)) {
    PrintSchedule(schedule);
    RC_FAIL("the histories are not complete: " + fleet.Keep());
  }
  const history_report report = CheckHistory(ValueOf(history));
  std::cout << "schedule "
            << DescribeVerdict(ValueOf(history), report, runner.injected())
            << std::endl;
  if (!report.violations.empty()) {
    PrintSchedule(schedule);
    RC_FAIL("violations; the histories are in " + fleet.Keep());
  }
  RC_ASSERT(report.answered > 0U);
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/history/history_check.h"

#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "tests/history/history_generator.h"

namespace bulrushshore {
namespace {

// Writes the events as files and reads them back, so that the checks cover the
// file format as well.
template <typename Event>
void Write(const std::vector<Event>& events, std::ostream& file) {
  for (const Event& event : events) {
    file << ToJson(event).dump() << "\n";
  }
}

history_report Check(const std::vector<generated_operation>& operations,
                     const std::vector<history_event>& more = {}) {
  std::stringstream callers;
  std::stringstream targets;
  for (const generated_operation& operation : operations) {
    callers << ToJson(operation.invocation).dump() << "\n";
    Write(operation.attempt_starts, callers);
    Write(operation.attempt_ends, callers);
    if (!operation.completion.operation.empty()) {
      callers << ToJson(operation.completion).dump() << "\n";
    }
    Write(operation.work_starts, targets);
    Write(operation.work_ends, targets);
  }
  Write(more, targets);
  operation_history history;
  RC_ASSERT(IsOk(history.AddFile("targets", targets)));
  RC_ASSERT(IsOk(history.AddFile("callers", callers)));
  return CheckHistory(history);
}

// Changes an operation that was answered, so that it shows a fault.
using planted_fault =
    std::function<void(generated_operation&, history_generator&)>;

// Checks that `plant` makes the checker report `kind` and nothing before.
void ExpectFound(violation_kind kind,
                 recorded_repeat repeat,
                 const planted_fault& plant,
                 const std::vector<history_event>& more = {}) {
  const std::string name(ViolationKindName(kind));
  const bool is_found = rc::check(name, [&] {
    history_generator generator(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<generated_operation> operations;
    const int count = *rc::gen::inRange(0, 30);
    operations.reserve(static_cast<std::size_t>(count) + 1);
    for (int index = 0; index < count; ++index) {
      operations.push_back(generator.Generate());
    }
    operations.push_back(generator.GenerateAnswered(repeat));
    RC_ASSERT(Check(operations).violations.empty());
    plant(operations.back(), generator);
    RC_ASSERT(Check(operations, more).CountOf(kind) >= 1U);
  });
  EXPECT_TRUE(is_found) << name;
}

void EndAs(generated_operation& operation, recorded_outcome outcome) {
  operation.attempt_ends.back().outcome = outcome;
  operation.completion.outcome = outcome;
  operation.completion.answer.reset();
}

// Each of the following guards against a checker that passes over one kind of
// fault.

TEST(HistoryCheckTest, FindsAKeyThatRanTwice) {
  ExpectFound(violation_kind::kKeyRanTwice, recorded_repeat::kKeyed,
              [](generated_operation& operation, history_generator& generator) {
                generator.AddRun(operation, work_outcome::kFailed);
              });
}

TEST(HistoryCheckTest, FindsWorkThatRanTwiceUnderTwoKeys) {
  for (const recorded_repeat repeat :
       {recorded_repeat::kKeyed, recorded_repeat::kOnce}) {
    ExpectFound(
        violation_kind::kOperationRanTwice, repeat,
        [](generated_operation& operation, history_generator& generator) {
          generator.AddRun(operation, work_outcome::kCancelled);
          operation.work_starts.back().key = "another";
          operation.work_starts.back().request_id =
              operation.invocation.operation + ".9";
        });
  }
}

TEST(HistoryCheckTest, FindsWorkThatRanButWasAnsweredNotRun) {
  for (const recorded_repeat repeat :
       {recorded_repeat::kKeyed, recorded_repeat::kIdempotent}) {
    ExpectFound(violation_kind::kNotRunButRan, repeat,
                [](generated_operation& operation, history_generator&) {
                  EndAs(operation, recorded_outcome::kNotRun);
                });
  }
}

// The call as a whole is answered; only one of its attempts was told wrongly.
TEST(HistoryCheckTest, FindsAnAttemptThatRanButWasAnsweredNotRun) {
  ExpectFound(violation_kind::kNotRunButRan, recorded_repeat::kIdempotent,
              [](generated_operation& operation, history_generator&) {
                operation.attempt_ends.back().outcome =
                    recorded_outcome::kNotRun;
              });
}

TEST(HistoryCheckTest, FindsWorkThatRanButWasRefused) {
  ExpectFound(violation_kind::kRefusedButRan, recorded_repeat::kKeyed,
              [](generated_operation& operation, history_generator&) {
                EndAs(operation, recorded_outcome::kRefused);
              });
}

TEST(HistoryCheckTest, FindsTheResponseToAnotherRequest) {
  for (const recorded_repeat repeat :
       {recorded_repeat::kKeyed, recorded_repeat::kIdempotent}) {
    ExpectFound(
        violation_kind::kAnswerSwapped, repeat,
        [](generated_operation& operation, history_generator& generator) {
          const generated_operation other =
              generator.GenerateAnswered(recorded_repeat::kIdempotent);
          operation.completion.answer = other.completion.answer;
        });
  }
}

TEST(HistoryCheckTest, FindsAnIncompleteResponse) {
  ExpectFound(violation_kind::kAnswerCut, recorded_repeat::kIdempotent,
              [](generated_operation& operation, history_generator&) {
                operation.completion.answer = recorded_answer{};
              });
}

TEST(HistoryCheckTest, FindsAResponseWithoutACompletedRun) {
  ExpectFound(violation_kind::kAnswerWithoutRun, recorded_repeat::kKeyed,
              [](generated_operation& operation, history_generator&) {
                operation.work_ends.back().outcome = work_outcome::kCancelled;
              });
  ExpectFound(violation_kind::kAnswerWithoutRun, recorded_repeat::kIdempotent,
              [](generated_operation& operation, history_generator&) {
                operation.work_starts.clear();
                operation.work_ends.clear();
              });
}

TEST(HistoryCheckTest, FindsACallWithoutAnEnd) {
  ExpectFound(violation_kind::kCallLost, recorded_repeat::kIdempotent,
              [](generated_operation& operation, history_generator&) {
                operation.completion.operation.clear();
              });
}

TEST(HistoryCheckTest, FindsTheEndOfACallThatNobodyStarted) {
  completion_event surplus;
  surplus.operation = "nobody";
  ExpectFound(violation_kind::kSurplusCompletion, recorded_repeat::kIdempotent,
              [](generated_operation&, history_generator&) {}, {surplus});
}

TEST(HistoryCheckTest, FindsWorkCutByTheGracefulStopOfItsTarget) {
  ExpectFound(violation_kind::kRunCutAtTargetStop, recorded_repeat::kIdempotent,
              [](generated_operation& operation, history_generator&) {
                operation.work_ends.pop_back();
              },
              {target_exit_event{"t1", "incarnation", 2000}});
}

// The request was sent before the stop, or to the host while it was leaving.
TEST(HistoryCheckTest, FindsARequestCutByTheGracefulStopOfItsHost) {
  for (const std::int64_t stop_begin_ms : {1050, 950}) {
    ExpectFound(violation_kind::kRequestCutAtHostStop, recorded_repeat::kKeyed,
                [](generated_operation& operation, history_generator&) {
                  EndAs(operation, recorded_outcome::kUnknown);
                  operation.attempt_ends.back().reason = "connection_lost";
                },
                {host_stop_event{"h1", stop_begin_ms, 1150}});
  }
}

// Guards against a report of work that a crash cut off, which is allowed, and
// against a response to a repeated key that is taken for a swapped one.
TEST(HistoryCheckTest, AcceptsCrashesAndResponsesToRepeatedKeys) {
  history_generator generator(1);
  generated_operation crashed =
      generator.GenerateAnswered(recorded_repeat::kKeyed);
  EndAs(crashed, recorded_outcome::kUnknown);
  crashed.work_ends.clear();
  const generated_operation first =
      generator.GenerateAnswered(recorded_repeat::kKeyed);
  generated_operation repeated =
      generator.GenerateAnswered(recorded_repeat::kKeyed);
  repeated.work_starts.clear();
  repeated.work_ends.clear();
  repeated.completion.key = first.completion.key;
  repeated.completion.answer = first.completion.answer;
  const history_report report = Check({crashed, first, repeated});
  EXPECT_TRUE(report.violations.empty());
  EXPECT_EQ(report.non_repeatable, 3U);
  EXPECT_DOUBLE_EQ(report.UnknownShare(), 1.0 / 3.0);
}

}  // namespace
}  // namespace bulrushshore

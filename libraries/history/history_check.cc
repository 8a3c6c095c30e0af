#include "libraries/history/history_check.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::array<std::string_view, kViolationKinds> kKindNames = {
    "key_ran_twice",           "operation_ran_twice",
    "not_run_but_ran",         "refused_but_ran",
    "answer_swapped",          "answer_cut",
    "answer_without_run",      "call_lost",
    "surplus_completion",      "run_cut_at_target_stop",
    "request_cut_at_host_stop"};

using runs_by_name =
    std::map<std::string, std::vector<const run_record*>, std::less<>>;

class checker {
 public:
  explicit checker(const operation_history& history) : history_(history) {}

  history_report Check() {
    IndexRuns();
    CheckKeys();
    for (const std::map<std::string, operation_record>::value_type& entry :
         history_.operations()) {
      CheckOperation(entry.first, entry.second);
    }
    CheckTargetStops();
    report_.operations = history_.operations().size();
    report_.runs = history_.runs().size();
    return std::move(report_);
  }

 private:
  void Report(violation_kind kind,
              std::string_view subject,
              std::string detail = "") {
    report_.violations.push_back(
        {kind, std::string(subject), std::move(detail)});
  }

  void IndexRuns() {
    for (const std::map<std::string, run_record>::value_type& entry :
         history_.runs()) {
      const run_record& run = entry.second;
      by_request_[run.start.request_id].push_back(&run);
      const std::string operation(OperationOfRequest(run.start.request_id));
      by_operation_[operation].push_back(&run);
      if (!run.start.key.empty()) {
        by_key_[run.start.key].push_back(&run);
      }
    }
  }

  static std::size_t CountIn(const runs_by_name& index, std::string_view name) {
    const auto found = index.find(name);
    return found == index.end() ? 0 : found->second.size();
  }

  void CheckKeys() {
    for (const runs_by_name::value_type& entry : by_key_) {
      if (entry.second.size() > 1) {
        Report(
            violation_kind::kKeyRanTwice, entry.first,
            entry.second[0]->start.run + " and " + entry.second[1]->start.run);
      }
    }
  }

  void CheckOperation(const std::string& name,
                      const operation_record& operation) {
    const bool is_non_repeatable =
        operation.invocation &&
        operation.invocation->repeat != recorded_repeat::kIdempotent;
    if (is_non_repeatable) {
      ++report_.non_repeatable;
      if (CountIn(by_operation_, name) > 1) {
        Report(violation_kind::kOperationRanTwice, name);
      }
    }
    for (const attempt_record& attempt : operation.attempts) {
      CheckAttempt(attempt);
    }
    CheckCompletions(name, operation, is_non_repeatable);
  }

  void CheckCompletions(const std::string& name,
                        const operation_record& operation,
                        bool is_non_repeatable) {
    if (operation.completions.empty()) {
      Report(violation_kind::kCallLost, name);
      return;
    }
    if (operation.completions.size() > 1 || !operation.invocation) {
      Report(violation_kind::kSurplusCompletion, name);
    }
    const completion_event& completion = operation.completions.front();
    CountOutcome(completion.outcome, is_non_repeatable);
    CheckStarts(completion.outcome, name, CountIn(by_operation_, name));
    if (completion.answer) {
      CheckAnswer(name, completion, *completion.answer, is_non_repeatable);
    }
  }

  void CountOutcome(recorded_outcome outcome, bool is_non_repeatable) {
    switch (outcome) {
      case recorded_outcome::kAnswered:
        ++report_.answered;
        return;
      case recorded_outcome::kNotRun:
        ++report_.not_run;
        return;
      case recorded_outcome::kUnknown:
        ++report_.unknown;
        report_.non_repeatable_unknown += is_non_repeatable ? 1 : 0;
        return;
      case recorded_outcome::kRefused:
        ++report_.refused;
        return;
    }
  }

  // Reports work that started although its caller was told that it did not.
  void CheckStarts(recorded_outcome outcome,
                   std::string_view subject,
                   std::size_t starts) {
    if (starts == 0) {
      return;
    }
    if (outcome == recorded_outcome::kNotRun) {
      Report(violation_kind::kNotRunButRan, subject);
    } else if (outcome == recorded_outcome::kRefused) {
      Report(violation_kind::kRefusedButRan, subject);
    }
  }

  void CheckAttempt(const attempt_record& attempt) {
    if (!attempt.end) {
      return;
    }
    const std::string& request_id = attempt.start.request_id;
    CheckStarts(attempt.end->outcome, request_id,
                CountIn(by_request_, request_id));
    const bool is_dropped =
        attempt.end->outcome == recorded_outcome::kUnknown &&
        attempt.end->reason == "connection_lost";
    if (is_dropped && IsCutByHostStop(attempt)) {
      Report(violation_kind::kRequestCutAtHostStop, request_id,
             "host " + attempt.start.host);
    }
  }

  // A leaving host serves the requests of callers that have not learnt of it
  // yet, so that requests sent during the stop count as well.
  bool IsCutByHostStop(const attempt_record& attempt) const {
    return std::any_of(history_.host_stops().begin(),
                       history_.host_stops().end(),
                       [&attempt](const host_stop_event& stop) {
                         return stop.host == attempt.start.host &&
                                attempt.start.unix_ms < stop.end_ms &&
                                attempt.end->unix_ms >= stop.begin_ms &&
                                attempt.end->unix_ms <= stop.end_ms;
                       });
  }

  void CheckAnswer(const std::string& operation,
                   const completion_event& completion,
                   const recorded_answer& answer,
                   bool is_non_repeatable) {
    if (!answer.intact) {
      Report(violation_kind::kAnswerCut, operation);
      return;
    }
    // A key may be sent again by a later call, which is then given the response
    // to the earlier one.
    const bool is_same_key = is_non_repeatable && !completion.key.empty() &&
                             answer.key == completion.key;
    const bool is_own =
        OperationOfRequest(answer.request_id) == operation &&
        (completion.key.empty() || answer.key == completion.key);
    if (!is_own && !is_same_key) {
      Report(violation_kind::kAnswerSwapped, operation,
             "response to " + answer.request_id);
    }
    const auto run = history_.runs().find(answer.run);
    const bool is_completed =
        run != history_.runs().end() && run->second.end &&
        run->second.end->outcome == work_outcome::kCompleted &&
        run->second.start.request_id == answer.request_id &&
        run->second.start.key == answer.key;
    if (!is_completed) {
      Report(violation_kind::kAnswerWithoutRun, operation, answer.run);
    }
  }

  void CheckTargetStops() {
    std::set<std::string> stopped_incarnations;
    for (const target_exit_event& exit : history_.target_exits()) {
      stopped_incarnations.insert(exit.incarnation);
    }
    for (const std::map<std::string, run_record>::value_type& entry :
         history_.runs()) {
      if (!entry.second.end &&
          stopped_incarnations.contains(entry.second.start.incarnation)) {
        Report(violation_kind::kRunCutAtTargetStop, entry.first);
      }
    }
  }

  const operation_history& history_;
  runs_by_name by_request_;
  runs_by_name by_operation_;
  runs_by_name by_key_;
  history_report report_;
};

}  // namespace

std::string_view ViolationKindName(violation_kind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

std::uint64_t history_report::CountOf(violation_kind kind) const {
  return static_cast<std::uint64_t>(std::count_if(
      violations.begin(), violations.end(),
      [kind](const violation& found) { return found.kind == kind; }));
}

double history_report::UnknownShare() const {
  return non_repeatable == 0 ? 0.0
                             : static_cast<double>(non_repeatable_unknown) /
                                   static_cast<double>(non_repeatable);
}

history_report CheckHistory(const operation_history& history) {
  return checker(history).Check();
}

}  // namespace bulrushshore

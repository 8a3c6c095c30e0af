#ifndef TESTS_HISTORY_HISTORY_GENERATOR_H_
#define TESTS_HISTORY_HISTORY_GENERATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/random_source.h"
#include "libraries/history/history_event.h"

namespace bulrushshore {

// One operation with all that callers and targets recorded about it.
struct generated_operation {
  invocation_event invocation;
  std::vector<attempt_start_event> attempt_starts;
  std::vector<attempt_end_event> attempt_ends;
  std::vector<work_start_event> work_starts;
  std::vector<work_end_event> work_ends;
  completion_event completion;
};

// Generates a history without violations; tests change its operations to plant
// faults.
class history_generator {
 public:
  explicit history_generator(std::uint64_t seed) : random_(seed) {}

  // Returns an operation with a valid course: attempts that did not run, that
  // ended unknown with or without a run, and a final answer or none.
  generated_operation Generate() {
    generated_operation made;
    const std::string name = "op" + std::to_string(next_operation_++);
    made.invocation = {name, "certificates",
                       static_cast<recorded_repeat>(random_.Uniform(3)), 1000};
    const std::uint64_t failures = random_.Uniform(3);
    bool has_run = false;
    for (std::uint64_t count = 0; count < failures; ++count) {
      AddFailedAttempt(made, has_run);
    }
    const bool may_run = IsRepeatable(made) || !has_run;
    if (may_run && random_.Uniform(4) != 0) {
      AddAnsweredAttempt(made);
    } else {
      made.completion.outcome = WorstOf(made);
    }
    made.completion.operation = name;
    return made;
  }

  // Returns an operation that was answered by a run of its own.
  generated_operation GenerateAnswered(recorded_repeat repeat) {
    generated_operation made;
    made.invocation = {"op" + std::to_string(next_operation_++), "certificates",
                       repeat, 1000};
    AddAnsweredAttempt(made);
    made.completion.operation = made.invocation.operation;
    return made;
  }

  // Adds a run for the last attempt.
  void AddRun(generated_operation& operation, work_outcome outcome) {
    const attempt_start_event& attempt = operation.attempt_starts.back();
    const std::string run = "run" + std::to_string(next_run_++);
    operation.work_starts.push_back({run, "t1", "incarnation",
                                     attempt.request_id, attempt.key, "issue",
                                     1000});
    operation.work_ends.push_back({run, outcome, 1000});
  }

 private:
  static bool IsRepeatable(const generated_operation& operation) {
    return operation.invocation.repeat == recorded_repeat::kIdempotent;
  }

  void StartAttempt(generated_operation& made) {
    const std::string& name = made.invocation.operation;
    const std::string key =
        made.invocation.repeat == recorded_repeat::kKeyed ? "key-" + name : "";
    const std::string request_id =
        name + "." + std::to_string(made.attempt_starts.size() + 1);
    made.attempt_starts.push_back({name, request_id, "h1", key, 1000});
    made.completion.key = key;
  }

  void EndAttempt(generated_operation& made,
                  recorded_outcome outcome,
                  const std::string& reason) {
    made.attempt_ends.push_back(
        {made.attempt_starts.back().request_id, outcome, 0, reason, 1100});
  }

  void AddFailedAttempt(generated_operation& made, bool& has_run) {
    StartAttempt(made);
    if (random_.Uniform(2) == 0) {
      EndAttempt(made, recorded_outcome::kNotRun, "queue_full");
      return;
    }
    EndAttempt(made, recorded_outcome::kUnknown, "connection_lost");
    const bool runs =
        (IsRepeatable(made) || !has_run) && random_.Uniform(2) == 0;
    if (runs) {
      AddRun(made, static_cast<work_outcome>(random_.Uniform(4)));
      has_run = true;
    }
  }

  void AddAnsweredAttempt(generated_operation& made) {
    StartAttempt(made);
    AddRun(made, work_outcome::kCompleted);
    EndAttempt(made, recorded_outcome::kAnswered, "");
    const work_start_event& work = made.work_starts.back();
    made.completion.outcome = recorded_outcome::kAnswered;
    made.completion.status = 200;
    made.completion.answer =
        recorded_answer{true, work.request_id, work.key, work.run};
  }

  static recorded_outcome WorstOf(const generated_operation& made) {
    for (const attempt_end_event& end : made.attempt_ends) {
      if (end.outcome == recorded_outcome::kUnknown) {
        return recorded_outcome::kUnknown;
      }
    }
    return recorded_outcome::kNotRun;
  }

  seeded_random random_;
  std::uint64_t next_operation_ = 0;
  std::uint64_t next_run_ = 0;
};

}  // namespace bulrushshore

#endif  // TESTS_HISTORY_HISTORY_GENERATOR_H_

#ifndef BENCHMARKS_POLICY_BENCH_FAKE_TARGET_H_
#define BENCHMARKS_POLICY_BENCH_FAKE_TARGET_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "benchmarks/policy_bench/deployments.h"
#include "benchmarks/policy_bench/event_queue.h"
#include "benchmarks/policy_bench/scenario.h"
#include "libraries/base/random_source.h"
#include "libraries/dispatch/dispatcher.h"

namespace bulrushshore {

// A target that is its slots, a draw of work time and a fault script. Not
// thread safe.
class fake_target {
 public:
  using answer_callback =
      std::function<void(attempt_result, std::optional<std::uint32_t> load)>;

  // Precondition: the arguments outlive this object.
  fake_target(event_queue& events,
              random_source& random,
              const bench_service& service,
              const scenario& script,
              std::uint32_t slots,
              bool is_affected);

  // Returns true while the fault of the script harms this target.
  bool IsFaulty() const;

  // Runs work until it ends or its deadline passes, then answers.
  void Run(bool is_long, time_point deadline, answer_callback answer);

 private:
  duration DrawWorkTime(bool is_long);
  double Slowness() const;
  bool DrawFailure();
  std::uint32_t ReportedLoad();

  event_queue& events_;
  random_source& random_;
  const bench_service& service_;
  const scenario& script_;
  std::uint32_t slots_;
  bool is_affected_;
  std::uint32_t running_ = 0;
};

// Draws a normally distributed number.
double DrawNormal(random_source& random);

}  // namespace bulrushshore

#endif  // BENCHMARKS_POLICY_BENCH_FAKE_TARGET_H_

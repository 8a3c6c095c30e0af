#ifndef TESTS_HEALTH_DETECTOR_DRIVER_H_
#define TESTS_HEALTH_DETECTOR_DRIVER_H_

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "libraries/health/outlier_detector.h"

namespace bulrushshore {

// Feeds an outlier detector with the requests of one service: each target in
// use gets one request per round.
class detector_driver {
 public:
  // Returns the outcome of the request of a target in a round.
  using script = std::function<evidence(const std::string&, int)>;

  static constexpr duration kRound = std::chrono::milliseconds(100);
  static constexpr duration kUsualTime = std::chrono::milliseconds(20);

  explicit detector_driver(std::size_t target_count,
                           const health_options& options = {})
      : detector(options) {
    for (std::size_t index = 0; index < target_count; ++index) {
      targets.push_back({"t" + std::to_string(index), 6, false});
    }
    detector.SetTargets(targets, 70, now);
  }

  static evidence Success(duration elapsed = kUsualTime) {
    return {evidence_type::kSuccess, "lookup", elapsed, false};
  }
  static evidence Failure() {
    return {evidence_type::kFailure, "lookup", kUsualTime, false};
  }

  void Run(int rounds, const script& outcome) {
    for (int round = 0; round < rounds; ++round) {
      now += kRound;
      detector.Advance(now);
      for (const monitored_target& target : targets) {
        const bool is_trial = detector.NeedsTrial(target.name);
        if (detector.Health(target.name, now).weight > 0.0 || is_trial) {
          evidence observed = outcome(target.name, round);
          observed.is_trial = is_trial;
          detector.Report(target.name, observed, now);
        }
      }
      for (health_event& event : detector.TakeEvents()) {
        events.push_back(std::move(event));
      }
    }
  }

  health_state State(const std::string& name) const {
    return detector.Health(name, now).state;
  }

  std::size_t CountEvents(health_event_type type) const {
    return static_cast<std::size_t>(std::count_if(
        events.begin(), events.end(),
        [type](const health_event& event) { return event.type == type; }));
  }

  std::vector<monitored_target> targets;
  outlier_detector detector;
  std::vector<health_event> events;
  time_point now{std::chrono::hours(1)};
};

}  // namespace bulrushshore

#endif  // TESTS_HEALTH_DETECTOR_DRIVER_H_

#ifndef BENCHMARKS_POLICY_BENCH_BENCH_HOST_H_
#define BENCHMARKS_POLICY_BENCH_BENCH_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "benchmarks/policy_bench/event_queue.h"
#include "libraries/dispatch/service_controller.h"

namespace bulrushshore {

// One host's decisions about the service, driven by virtual time. Not thread
// safe.
class bench_host {
 public:
  using outcome_callback = std::function<void(const acquire_outcome&)>;
  using health_callback = std::function<void(const health_event&)>;

  // Precondition: `events` outlives this object.
  bench_host(event_queue& events,
             const std::string& service,
             const std::string& zone,
             const service_policy& policy,
             std::uint64_t seed);

  void Apply(std::shared_ptr<const catalog_snapshot> snapshot);
  void Acquire(const acquire_request& request, outcome_callback callback);
  void Release(std::uint64_t grant_id, const attempt_report& report);
  void SetHealthCallback(health_callback callback);

 private:
  void Finish(const std::vector<acquire_decision>& decisions);
  void ScheduleWakeup();

  event_queue& events_;
  service_controller controller_;
  std::unordered_map<std::uint64_t, outcome_callback> waiting_;
  std::uint64_t next_request_id_ = 1;
  std::optional<time_point> wakeup_at_;
  health_callback on_health_event_;
};

}  // namespace bulrushshore

#endif  // BENCHMARKS_POLICY_BENCH_BENCH_HOST_H_

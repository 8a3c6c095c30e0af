#include "benchmarks/policy_bench/bench_host.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {

bench_host::bench_host(event_queue& events,
                       const std::string& service,
                       const std::string& zone,
                       const service_policy& policy,
                       std::uint64_t seed)
    : events_(events),
      controller_(service, zone, policy, std::make_unique<seeded_random>(seed)),
      on_health_event_([](const health_event&) {}) {}

void bench_host::Apply(std::shared_ptr<const catalog_snapshot> snapshot) {
  Finish(controller_.Apply(std::move(snapshot), events_.Now()));
}

void bench_host::Acquire(const acquire_request& request,
                         outcome_callback callback) {
  const std::uint64_t request_id = next_request_id_++;
  waiting_.emplace(request_id, std::move(callback));
  Finish(controller_.Acquire(request_id, request, events_.Now()));
}

void bench_host::Release(std::uint64_t grant_id, const attempt_report& report) {
  Finish(controller_.Release(grant_id, report, events_.Now()));
}

void bench_host::SetHealthCallback(health_callback callback) {
  on_health_event_ = std::move(callback);
}

void bench_host::Finish(const std::vector<acquire_decision>& decisions) {
  for (const health_event& event : controller_.TakeHealthEvents()) {
    on_health_event_(event);
  }
  for (const acquire_decision& decision : decisions) {
    const auto position = waiting_.find(decision.request_id);
    const outcome_callback callback = std::move(position->second);
    waiting_.erase(position);
    callback(decision.outcome);
  }
  ScheduleWakeup();
}

void bench_host::ScheduleWakeup() {
  const std::optional<time_point> next = controller_.NextWakeup(events_.Now());
  if (!next || (wakeup_at_ && *wakeup_at_ <= *next)) {
    return;
  }
  const time_point at =
      std::max<time_point>(*next, events_.Now() + std::chrono::milliseconds(1));
  wakeup_at_ = at;
  events_.At(at, [this, at] {
    if (wakeup_at_ && at >= *wakeup_at_) {
      wakeup_at_.reset();
    }
    Finish(controller_.Advance(events_.Now()));
  });
}

}  // namespace bulrushshore

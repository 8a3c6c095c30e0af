#ifndef BENCHMARKS_POLICY_BENCH_SIMULATION_H_
#define BENCHMARKS_POLICY_BENCH_SIMULATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "benchmarks/policy_bench/bench_host.h"
#include "benchmarks/policy_bench/deployments.h"
#include "benchmarks/policy_bench/event_queue.h"
#include "benchmarks/policy_bench/fake_target.h"
#include "benchmarks/policy_bench/scenario.h"
#include "libraries/base/random_source.h"

namespace bulrushshore {

// What one run of one service measured.
struct run_result {
  // Seconds from the start of the fault until a host acts on it, averaged over
  // the hosts that do.
  std::optional<double> detect_seconds;
  double detecting_hosts_share = 0.0;
  // Ejections of targets without a fault, per hour of all hosts together.
  double false_ejections_per_hour = 0.0;
  // Requests of the peak, else of the fault, else of the whole run.
  double in_time_share = 0.0;
  // The same without the organisation that causes the peak.
  double others_in_time_share = 0.0;
  double short_in_time_share = 0.0;
  // Time that short work waited for a slot, in milliseconds.
  double short_wait_p50 = 0.0;
  double short_wait_p99 = 0.0;
  // Lowest slots in use of any host minus the floor.
  int lowest_floor_margin = 0;
  double retry_share = 0.0;
  // Seconds from the end of the event until 95% are answered in time again.
  double recover_seconds = 0.0;
  // Seconds from the end of the fault until all hosts use all targets fully.
  double full_capacity_seconds = 0.0;
};

// Runs one service of a deployment through one script. Not thread safe.
class simulation {
 public:
  // Precondition: the arguments outlive this object.
  simulation(const deployment& fleet,
             const bench_service& service,
             const scenario& script,
             const service_policy& policy,
             std::uint64_t seed);

  run_result Run();

 private:
  struct bench_request {
    std::size_t host = 0;
    bool is_long = false;
    bool is_counted = false;
    bool is_flood = false;
    time_point arrival;
    acquire_request wanted;
  };
  struct second_counts {
    std::uint64_t total = 0;
    std::uint64_t in_time = 0;
  };
  using request_pointer = std::shared_ptr<bench_request>;

  void AddTargets();
  void AddHosts(const service_policy& policy, std::uint64_t seed);
  bool IsAffected(std::size_t target) const;
  bool IsInWindow() const;
  double Capacity() const;
  duration EventEnd() const;
  void ScheduleArrival();
  void Arrive();
  void Attempt(const request_pointer& request);
  void Send(const request_pointer& request, const grant& granted);
  void FinishAttempt(const request_pointer& request,
                     const grant& granted,
                     time_point sent,
                     attempt_result outcome,
                     std::optional<std::uint32_t> load);
  void RetryOrFail(const request_pointer& request,
                   const std::string& target,
                   attempt_result outcome);
  void Finish(const request_pointer& request, bool is_success);
  void OnHealthEvent(std::size_t host, const health_event& event);
  duration LatencyTo(std::size_t host, const std::string& target) const;
  run_result Summarize();

  const deployment& fleet_;
  const bench_service& service_;
  const scenario& script_;
  event_queue events_;
  seeded_random random_;
  catalog_snapshot catalog_;
  std::vector<std::string> target_names_;
  std::vector<std::unique_ptr<fake_target>> targets_;
  std::vector<std::unique_ptr<bench_host>> hosts_;
  std::vector<std::optional<double>> detected_at_;
  std::vector<float> short_waits_;
  std::vector<second_counts> seconds_;
  second_counts window_;
  second_counts window_others_;
  second_counts window_short_;
  std::uint64_t first_attempts_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t false_ejections_ = 0;
  int lowest_floor_margin_ = 0;
  duration last_restored_{};
};

}  // namespace bulrushshore

#endif  // BENCHMARKS_POLICY_BENCH_SIMULATION_H_

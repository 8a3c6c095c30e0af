#include "benchmarks/policy_bench/simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::uint32_t kMaximumAttempts = 3;
constexpr duration kServiceTimeout = std::chrono::seconds(3);
constexpr duration kPatientDeadline = std::chrono::seconds(2);
constexpr duration kImpatientDeadline = std::chrono::milliseconds(400);
constexpr double kImpatientShare = 0.3;
constexpr duration kShortestBackoff = std::chrono::milliseconds(5);
constexpr duration kBackoffSpread = std::chrono::milliseconds(15);
constexpr std::uint64_t kOrganisations = 20;
// Share of a peak's extra demand that comes from one organisation.
constexpr double kFloodShare = 0.5;
constexpr double kRecoveredShare = 0.95;
// A cold restart ends when the targets are warm.
constexpr duration kColdRestartLength = std::chrono::seconds(10);
// Failures from just before the end of a fault may still lead to an ejection.
constexpr duration kFaultTail = std::chrono::seconds(1);

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

double Percentile(std::vector<float>& values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  const std::size_t index = std::min<std::size_t>(
      values.size() - 1,
      static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(
      values.begin(),
      std::next(values.begin(), static_cast<std::ptrdiff_t>(index)),
      values.end());
  return values[index];
}

}  // namespace

simulation::simulation(const deployment& fleet,
                       const bench_service& service,
                       const scenario& script,
                       const service_policy& policy,
                       std::uint64_t seed)
    : fleet_(fleet), service_(service), script_(script), random_(seed) {
  AddTargets();
  AddHosts(policy, seed);
}

run_result simulation::Run() {
  seconds_.resize(static_cast<std::size_t>(Seconds(script_.length)) + 1);
  ScheduleArrival();
  events_.RunUntil(script_.length);
  return Summarize();
}

void simulation::AddTargets() {
  bulrushshore::service rules;
  rules.name = service_.name;
  rules.timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(kServiceTimeout);
  catalog_.contents.services[rules.name] = rules;
  for (std::size_t index = 0; index < service_.target_count; ++index) {
    target added;
    added.service = service_.name;
    added.name = "t" + std::to_string(100 + index);
    added.address = {"10.0.0." + std::to_string(index + 1), 9001};
    added.zone = std::to_string(index % fleet_.zone_count);
    added.slots = fleet_.slots;
    catalog_.contents.targets[service_.name + "/" + added.name] = added;
    target_names_.push_back(added.name);
    targets_.push_back(std::make_unique<fake_target>(
        events_, random_, service_, script_, fleet_.slots, IsAffected(index)));
  }
  const std::size_t slots = service_.target_count * fleet_.slots;
  lowest_floor_margin_ =
      static_cast<int>(slots - (slots * rules.floor_percent + 99) / 100);
}

void simulation::AddHosts(const service_policy& policy, std::uint64_t seed) {
  const std::shared_ptr<const catalog_snapshot> snapshot =
      std::make_shared<const catalog_snapshot>(catalog_);
  for (std::size_t host = 0; host < fleet_.host_count; ++host) {
    hosts_.push_back(std::make_unique<bench_host>(
        events_, service_.name, std::to_string(host % fleet_.zone_count),
        policy, seed * fleet_.host_count + host));
    hosts_.back()->SetHealthCallback([this, host](const health_event& event) {
      OnHealthEvent(host, event);
    });
    hosts_.back()->Apply(snapshot);
  }
  detected_at_.resize(fleet_.host_count);
}

bool simulation::IsAffected(std::size_t target) const {
  switch (script_.scope) {
    case fault_scope::kNoTarget:
      return false;
    case fault_scope::kOneTarget:
      return target == 0;
    case fault_scope::kOneZone:
      return target % fleet_.zone_count == 0;
    case fault_scope::kHalfOfTargets:
      return target % 2 == 0;
  }
  return false;
}

bool simulation::IsInWindow() const {
  const duration elapsed = events_.Elapsed();
  if (script_.peak_demand > 0.0) {
    return script_.IsPeak(elapsed);
  }
  const bool has_event =
      script_.fault != fault_type::kNone || script_.has_host_partition;
  return !has_event || script_.IsFaultActive(elapsed);
}

double simulation::Capacity() const {
  // Mean of the lognormal distribution, outliers and long work included.
  const double spread = std::exp(0.5 * 0.4 * 0.4);
  const double short_mean =
      Seconds(service_.short_work) * spread * (1.0 + 0.02 * 7.0);
  const double long_mean =
      Seconds(service_.short_work) * spread * service_.long_factor;
  const double mean = (1.0 - service_.long_share) * short_mean +
                      service_.long_share * long_mean;
  return static_cast<double>(service_.target_count * fleet_.slots) / mean;
}

duration simulation::EventEnd() const {
  if (script_.fault == fault_type::kColdRestart) {
    return script_.fault_start + kColdRestartLength;
  }
  duration end{};
  if (script_.fault != fault_type::kNone || script_.has_host_partition) {
    end = script_.fault_end;
  }
  if (script_.peak_demand > 0.0) {
    end = std::max(end, script_.peak_start + script_.peak_length);
  }
  return end;
}

void simulation::ScheduleArrival() {
  const double rate = Capacity() * script_.DemandAt(events_.Elapsed());
  const double gap = -std::log(1.0 - random_.UniformReal()) / rate;
  events_.After(
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)),
      [this] {
        Arrive();
        ScheduleArrival();
      });
}

void simulation::Arrive() {
  const request_pointer request = std::make_shared<bench_request>();
  const bool is_peak = script_.IsPeak(events_.Elapsed());
  const double extra_share =
      is_peak ? 1.0 - script_.demand / script_.peak_demand : 0.0;
  const double long_share =
      is_peak ? script_.peak_long_share.value_or(service_.long_share)
              : service_.long_share;
  request->host = random_.Uniform(fleet_.host_count);
  request->is_long = random_.UniformReal() < long_share;
  request->is_flood = random_.UniformReal() < extra_share * kFloodShare;
  request->is_counted = IsInWindow();
  request->arrival = events_.Now();
  const bool is_impatient =
      !request->is_long && random_.UniformReal() < kImpatientShare;
  duration allowed = is_impatient ? kImpatientDeadline : kPatientDeadline;
  if (request->is_long) {
    allowed = kServiceTimeout;
  }
  acquire_request& wanted = request->wanted;
  wanted.service = service_.name;
  wanted.kind = request->is_long ? "long" : "short";
  wanted.organisation =
      request->is_flood
          ? "flood"
          : "organisation-" + std::to_string(random_.Uniform(kOrganisations));
  wanted.deadline = events_.Now() + allowed;
  ++first_attempts_;
  Attempt(request);
}

void simulation::Attempt(const request_pointer& request) {
  hosts_[request->host]->Acquire(
      request->wanted, [this, request](const acquire_outcome& outcome) {
        const grant* const granted = std::get_if<grant>(&outcome);
        if (granted == nullptr) {
          Finish(request, false);
          return;
        }
        if (request->wanted.attempt > 0) {
          ++retries_;
        } else if (!request->is_long) {
          short_waits_.push_back(static_cast<float>(
              1000.0 * Seconds(events_.Now() - request->arrival)));
        }
        Send(request, *granted);
      });
}

void simulation::Send(const request_pointer& request, const grant& granted) {
  struct exchange {
    bool is_over = false;
  };
  const std::shared_ptr<exchange> state = std::make_shared<exchange>();
  const time_point sent = events_.Now();
  const duration latency = LatencyTo(request->host, granted.chosen.name);
  const std::size_t index = static_cast<std::size_t>(
      std::find(target_names_.begin(), target_names_.end(),
                granted.chosen.name) -
      target_names_.begin());
  const auto finish = [this, request, granted, state, sent](
                          attempt_result outcome,
                          std::optional<std::uint32_t> load) {
    if (!state->is_over) {
      state->is_over = true;
      FinishAttempt(request, granted, sent, outcome, load);
    }
  };
  events_.After(latency, [this, request, index, latency, finish] {
    targets_[index]->Run(
        request->is_long, request->wanted.deadline,
        [this, request, latency, finish](attempt_result outcome,
                                         std::optional<std::uint32_t> load) {
          const bool is_lost = script_.has_host_partition &&
                               request->host == 0 &&
                               script_.IsFaultActive(events_.Elapsed());
          if (!is_lost) {
            events_.After(latency,
                          [finish, outcome, load] { finish(outcome, load); });
          }
        });
  });
  events_.At(request->wanted.deadline,
             [finish] { finish(attempt_result::kTimeout, std::nullopt); });
}

void simulation::FinishAttempt(const request_pointer& request,
                               const grant& granted,
                               time_point sent,
                               attempt_result outcome,
                               std::optional<std::uint32_t> load) {
  attempt_report report;
  report.outcome = outcome;
  report.elapsed = events_.Now() - sent;
  report.reported_load = load;
  hosts_[request->host]->Release(granted.id, report);
  if (outcome == attempt_result::kSuccess) {
    Finish(request, events_.Now() <= request->wanted.deadline);
    return;
  }
  RetryOrFail(request, granted.chosen.name, outcome);
}

void simulation::RetryOrFail(const request_pointer& request,
                             const std::string& target,
                             attempt_result outcome) {
  const bool is_not_started = outcome == attempt_result::kShed ||
                              outcome == attempt_result::kConnectFailed;
  const duration backoff =
      kShortestBackoff + std::chrono::duration_cast<duration>(
                             random_.UniformReal() * kBackoffSpread);
  if (!(service_.is_idempotent || is_not_started) ||
      request->wanted.attempt + 1 >= kMaximumAttempts ||
      events_.Now() + backoff >= request->wanted.deadline) {
    Finish(request, false);
    return;
  }
  ++request->wanted.attempt;
  request->wanted.excluded_targets.push_back(target);
  events_.After(backoff, [this, request] { Attempt(request); });
}

void simulation::Finish(const request_pointer& request, bool is_success) {
  const std::size_t second = static_cast<std::size_t>(
      Seconds(request->arrival - events_.Now() + events_.Elapsed()));
  const auto count = [is_success](second_counts& counts) {
    ++counts.total;
    counts.in_time += is_success ? 1 : 0;
  };
  count(seconds_[second]);
  if (request->is_counted) {
    count(window_);
    if (!request->is_flood) {
      count(window_others_);
    }
    if (!request->is_long) {
      count(window_short_);
    }
  }
}

void simulation::OnHealthEvent(std::size_t host, const health_event& event) {
  const duration elapsed = events_.Elapsed();
  lowest_floor_margin_ = std::min(
      lowest_floor_margin_, static_cast<int>(event.figures.slots_in_use) -
                                static_cast<int>(event.figures.floor_slots));
  if (event.type == health_event_type::kRestored) {
    last_restored_ = elapsed;
  }
  const bool is_partition_found =
      script_.has_host_partition && host == 0 &&
      event.type == health_event_type::kHostSuspected;
  bool is_fault_found = false;
  if (event.type == health_event_type::kEjected ||
      event.type == health_event_type::kKeptForFloor) {
    const std::size_t index = static_cast<std::size_t>(
        std::find(target_names_.begin(), target_names_.end(), event.target) -
        target_names_.begin());
    const bool was_faulty =
        IsAffected(index) && script_.fault != fault_type::kMisleadingLoad &&
        elapsed >= script_.fault_start && elapsed < EventEnd() + kFaultTail;
    is_fault_found = was_faulty;
    const bool is_ejection = event.type == health_event_type::kEjected &&
                             event.reason != health_reason::kTrialFailed;
    false_ejections_ += is_ejection && !was_faulty ? 1 : 0;
  }
  if ((is_partition_found || is_fault_found) && !detected_at_[host]) {
    detected_at_[host] = Seconds(elapsed - script_.fault_start);
  }
}

duration simulation::LatencyTo(std::size_t host,
                               const std::string& target) const {
  const bulrushshore::target& chosen =
      catalog_.contents.targets.at(service_.name + "/" + target);
  const bool is_same_zone =
      chosen.zone == std::to_string(host % fleet_.zone_count);
  return is_same_zone ? fleet_.local_latency : fleet_.zone_latency;
}

run_result simulation::Summarize() {
  run_result result;
  double sum = 0.0;
  std::size_t detecting = 0;
  for (const std::optional<double>& detected : detected_at_) {
    sum += detected.value_or(0.0);
    detecting += detected ? 1 : 0;
  }
  const std::size_t expected =
      script_.has_host_partition ? 1 : fleet_.host_count;
  if (detecting > 0) {
    result.detect_seconds = sum / static_cast<double>(detecting);
  }
  result.detecting_hosts_share = Share(detecting, expected);
  result.false_ejections_per_hour = static_cast<double>(false_ejections_) /
                                    (Seconds(script_.length) / 3600.0);
  result.in_time_share = Share(window_.in_time, window_.total);
  result.others_in_time_share =
      Share(window_others_.in_time, window_others_.total);
  result.short_in_time_share =
      Share(window_short_.in_time, window_short_.total);
  result.short_wait_p50 = Percentile(short_waits_, 0.5);
  result.short_wait_p99 = Percentile(short_waits_, 0.99);
  result.lowest_floor_margin = lowest_floor_margin_;
  result.retry_share =
      static_cast<double>(retries_) /
      static_cast<double>(std::max<std::uint64_t>(1, first_attempts_));
  const double end = Seconds(EventEnd());
  // Requests of the last seconds have not all ended.
  const std::size_t complete = seconds_.size() - 4;
  for (std::size_t second = static_cast<std::size_t>(end); second < complete;
       ++second) {
    if (Share(seconds_[second].in_time, seconds_[second].total) <
        kRecoveredShare) {
      result.recover_seconds = static_cast<double>(second + 1) - end;
    }
  }
  result.full_capacity_seconds = std::max(0.0, Seconds(last_restored_) - end);
  return result;
}

}  // namespace bulrushshore

#include "benchmarks/policy_bench/fake_target.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace bulrushshore {
namespace {

constexpr double kWorkTimeSigma = 0.4;
// Healthy targets run this share of their requests much longer.
constexpr double kOutlierShare = 0.02;
constexpr double kOutlierFactor = 8.0;
constexpr double kHealthyFailureShare = 0.002;
constexpr double kGrayFailureShare = 0.5;
constexpr double kSlowFactor = 5.0;
constexpr duration kFlapLength = std::chrono::seconds(5);
constexpr duration kRestartLength = std::chrono::seconds(2);
constexpr double kColdFactor = 4.0;
constexpr duration kWarmUpLength = std::chrono::seconds(8);
constexpr duration kConnectTimeout = std::chrono::milliseconds(200);
// An error is answered in this share of the usual time.
constexpr double kErrorTimeShare = 0.3;

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

double DrawNormal(random_source& random) {
  const double radius = std::sqrt(-2.0 * std::log(1.0 - random.UniformReal()));
  return radius * std::cos(2.0 * std::numbers::pi * random.UniformReal());
}

fake_target::fake_target(event_queue& events,
                         random_source& random,
                         const bench_service& service,
                         const scenario& script,
                         std::uint32_t slots,
                         bool is_affected)
    : events_(events),
      random_(random),
      service_(service),
      script_(script),
      slots_(slots),
      is_affected_(is_affected) {}

bool fake_target::IsFaulty() const {
  const duration elapsed = events_.Elapsed();
  if (!is_affected_ || script_.fault == fault_type::kMisleadingLoad) {
    return false;
  }
  if (script_.fault == fault_type::kColdRestart) {
    return elapsed >= script_.fault_start &&
           elapsed < script_.fault_start + kRestartLength + kWarmUpLength;
  }
  return script_.IsFaultActive(elapsed);
}

void fake_target::Run(bool is_long,
                      time_point deadline,
                      answer_callback answer) {
  const duration elapsed = events_.Elapsed();
  const bool is_restarting = IsFaulty() &&
                             script_.fault == fault_type::kColdRestart &&
                             elapsed < script_.fault_start + kRestartLength;
  if (is_restarting) {
    answer(attempt_result::kConnectFailed, std::nullopt);
    return;
  }
  if (IsFaulty() && script_.fault == fault_type::kUnreachable) {
    events_.After(kConnectTimeout, [answer = std::move(answer)] {
      answer(attempt_result::kConnectFailed, std::nullopt);
    });
    return;
  }
  if (running_ >= slots_) {
    answer(attempt_result::kShed, ReportedLoad());
    return;
  }
  ++running_;
  const bool is_failure = DrawFailure();
  duration work = DrawWorkTime(is_long);
  if (is_failure) {
    work = std::chrono::duration_cast<duration>(kErrorTimeShare * work);
  }
  const time_point end = std::min(events_.Now() + work, deadline);
  events_.At(end, [this, is_failure, answer = std::move(answer)] {
    --running_;
    answer(is_failure ? attempt_result::kServerError : attempt_result::kSuccess,
           ReportedLoad());
  });
}

duration fake_target::DrawWorkTime(bool is_long) {
  double seconds = Seconds(service_.short_work) * Slowness() *
                   std::exp(kWorkTimeSigma * DrawNormal(random_));
  if (is_long) {
    seconds *= service_.long_factor;
  } else if (random_.UniformReal() < kOutlierShare) {
    seconds *= kOutlierFactor;
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

double fake_target::Slowness() const {
  if (!IsFaulty()) {
    return 1.0;
  }
  if (script_.fault == fault_type::kSlowGray) {
    return kSlowFactor;
  }
  if (script_.fault == fault_type::kColdRestart) {
    const double warm =
        Seconds(events_.Elapsed() - script_.fault_start - kRestartLength) /
        Seconds(kWarmUpLength);
    return kColdFactor + (1.0 - kColdFactor) * std::clamp(warm, 0.0, 1.0);
  }
  return 1.0;
}

bool fake_target::DrawFailure() {
  double share = kHealthyFailureShare;
  if (IsFaulty() && script_.fault == fault_type::kGray) {
    share = kGrayFailureShare;
  }
  if (IsFaulty() && script_.fault == fault_type::kFlapping) {
    const std::int64_t phase =
        (events_.Elapsed() - script_.fault_start) / kFlapLength;
    share = phase % 2 == 0 ? 1.0 : kHealthyFailureShare;
  }
  return random_.UniformReal() < share;
}

std::uint32_t fake_target::ReportedLoad() {
  if (is_affected_ && script_.fault == fault_type::kMisleadingLoad &&
      script_.IsFaultActive(events_.Elapsed())) {
    return static_cast<std::uint32_t>(
        random_.Uniform(std::uint64_t{3} * slots_));
  }
  return running_;
}

}  // namespace bulrushshore

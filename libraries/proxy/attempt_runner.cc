#include "libraries/proxy/attempt_runner.h"

#include <utility>

namespace bulrushshore {
namespace {

constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;

bool IsFlagSet(const proxy_response& response, std::string_view name) {
  return response.headers.Find(name) == "1";
}

// Reads what a target says about itself into `report`.
void ReadTargetState(const proxy_response& response, attempt_report& report) {
  report.is_draining = IsFlagSet(response, "X-Draining");
  const std::optional<std::string> load = response.headers.Find("X-Load");
  if (!load.has_value()) {
    return;
  }
  const std::optional<std::uint64_t> running = ParseDecimal(*load);
  if (running.has_value() && *running <= UINT32_MAX) {
    report.reported_load = static_cast<std::uint32_t>(*running);
  }
}

// Removes what is not meant for callers, and the headers by which this host
// speaks for itself, so that no target can forge them.
void RemoveInternalHeaders(const work& given, proxy_response& response) {
  const std::optional<std::string> length =
      response.headers.Find("Content-Length");
  RemoveHopByHopHeaders(response.headers);
  for (const std::string_view name :
       {"X-Load", "X-Draining", "X-Not-Started", "X-Outcome",
        "X-Outcome-Reason", "X-Served-By", "X-Request-Id"}) {
    response.headers.Remove(name);
  }
  if (given.message.method == "HEAD" && length.has_value()) {
    response.headers.Add("Content-Length", *length);
  }
}

bool IsCallerGone(const work& given, const clock& source) {
  return WaitForSocket(kNoSocket, 0, given.caller_socket, source,
                       source.Now()) == stream_end::kCancelled;
}

}  // namespace

attempt_runner::attempt_runner(const retry_options& options,
                               dispatcher& targets,
                               target_client& client,
                               connection_bound& bound,
                               const clock& source,
                               crash_reporter report_crash)
    : options_(options),
      dispatcher_(targets),
      client_(client),
      bound_(bound),
      clock_(source),
      report_crash_(std::move(report_crash)),
      random_(seeded_random::FromSystemEntropy()) {}

work_result attempt_runner::Run(const work& given) {
  run_state state;
  state.acquire = {given.service,
                   given.kind,
                   given.organisation,
                   given.fingerprint,
                   given.deadline,
                   0,
                   {}};
  for (std::uint32_t attempt = 0; attempt < options_.max_attempts; ++attempt) {
    if (attempt > 0 && !BackOff(given, attempt)) {
      break;
    }
    state.acquire.attempt = attempt;
    if (TryOnce(given, state) == next_step::kDone) {
      break;
    }
  }
  const bool is_answered =
      std::holds_alternative<proxy_response>(state.result.outcome);
  if (is_answered) {
    return state.result;
  }
  ReportCrash(given, state);
  if (state.server_error.has_value()) {
    state.result.outcome = std::move(*state.server_error);
  } else if (state.started_failure.has_value()) {
    state.result.outcome = *state.started_failure;
  }
  return state.result;
}

attempt_runner::next_step attempt_runner::TryOnce(const work& given,
                                                  run_state& state) {
  const acquire_outcome acquired = dispatcher_.Acquire(state.acquire);
  if (const refusal* refused = std::get_if<refusal>(&acquired)) {
    OnRefusal(*refused, state);
    return next_step::kDone;
  }
  const grant& granted = std::get<grant>(acquired);
  attempt_report report;
  if (IsCallerGone(given, clock_)) {
    report.outcome = attempt_result::kCancelledByCaller;
    dispatcher_.Release(given.service, granted.id, report);
    state.result.outcome = failure_point::kCallerGone;
    return next_step::kDone;
  }
  ++state.result.attempts;
  state.result.target = granted.chosen.name;

  exchange_request request;
  request.address = granted.chosen.address;
  request.message = given.message;
  request.deadline = given.deadline;
  // After a loss, a new connection tells a crash from a stale connection.
  request.needs_new_connection =
      !given.is_idempotent || !state.lost_targets.empty();
  request.max_connections = bound_.Of(granted.chosen);
  // Work that may not be repeated runs to its end, so that its response can
  // be kept for a retry.
  request.cancel_socket = given.is_idempotent ? given.caller_socket : kNoSocket;
  const time_point start = clock_.Now();
  exchange_result exchanged = client_.Exchange(std::move(request));
  report.elapsed = clock_.Now() - start;

  next_step step = next_step::kDone;
  if (std::holds_alternative<proxy_response>(exchanged.outcome)) {
    step = OnResponse(given, granted,
                      std::move(std::get<proxy_response>(exchanged.outcome)),
                      report, state);
  } else {
    step = OnFailure(given, granted, exchanged, report, state);
  }
  dispatcher_.Release(given.service, granted.id, report);
  return step;
}

void attempt_runner::OnRefusal(const refusal& refused, run_state& state) {
  state.result.outcome = FailurePointOf(refused.reason);
  state.result.retry_after = refused.retry_after;
}

attempt_runner::next_step attempt_runner::OnResponse(const work& given,
                                                     const grant& granted,
                                                     proxy_response response,
                                                     attempt_report& report,
                                                     run_state& state) {
  ReadTargetState(response, report);
  if (response.status == kServiceUnavailable &&
      IsFlagSet(response, "X-Not-Started")) {
    report.outcome = attempt_result::kShed;
    state.result.outcome = failure_point::kTargetRefused;
    state.acquire.excluded_targets.push_back(granted.chosen.name);
    return next_step::kRetry;
  }
  RemoveInternalHeaders(given, response);
  if (response.status < kFirstServerError) {
    state.result.outcome = std::move(response);
    return next_step::kDone;
  }
  report.outcome = attempt_result::kServerError;
  if (!given.is_idempotent) {
    state.result.outcome = std::move(response);
    return next_step::kDone;
  }
  state.server_error = std::move(response);
  state.acquire.excluded_targets.push_back(granted.chosen.name);
  return next_step::kRetry;
}

attempt_runner::next_step attempt_runner::OnFailure(
    const work& given,
    const grant& granted,
    const exchange_result& exchanged,
    attempt_report& report,
    run_state& state) {
  const failure_point point = std::get<failure_point>(exchanged.outcome);
  report.outcome = AttemptResultOf(point, exchanged.was_connection_reused);
  state.result.outcome = point;
  report.may_have_started = MayHaveStarted(point);
  if (report.may_have_started) {
    state.started_failure = point;
  }
  const bool is_lost = report.outcome == attempt_result::kConnectionLost ||
                       report.outcome == attempt_result::kStaleConnection;
  if (is_lost && report.may_have_started) {
    state.lost_targets.push_back(granted.chosen.name);
  }
  if (point == failure_point::kCancelled) {
    return next_step::kDone;
  }
  if (report.outcome != attempt_result::kStaleConnection) {
    state.acquire.excluded_targets.push_back(granted.chosen.name);
  }
  const bool may_retry = given.is_idempotent || !MayHaveStarted(point);
  return may_retry ? next_step::kRetry : next_step::kDone;
}

// The caller may send the request again through another host as soon as it has
// its response, so the other hosts are told before.
void attempt_runner::ReportCrash(const work& given,
                                 const run_state& state) const {
  if (report_crash_ != nullptr && !state.lost_targets.empty()) {
    report_crash_(given, state.lost_targets);
  }
}

bool attempt_runner::BackOff(const work& given, std::uint32_t attempt) {
  duration delay = options_.base_delay * (1U << (attempt - 1));
  {
    const std::lock_guard<std::mutex> lock(random_mutex_);
    constexpr double kHalf = 0.5;
    delay = std::chrono::duration_cast<duration>(
        delay * (kHalf + kHalf * random_.UniformReal()));
  }
  const time_point end = clock_.Now() + delay;
  return end < given.deadline &&
         WaitForSocket(kNoSocket, 0, given.caller_socket, clock_, end) ==
             stream_end::kDeadline;
}

attempt_result AttemptResultOf(failure_point point,
                               bool was_connection_reused) {
  const attempt_result lost = was_connection_reused
                                  ? attempt_result::kStaleConnection
                                  : attempt_result::kConnectionLost;
  switch (point) {
    case failure_point::kConnectFailed:
      return attempt_result::kConnectFailed;
    case failure_point::kTargetRefused:
      return attempt_result::kShed;
    case failure_point::kNothingSent:
    case failure_point::kSendInterrupted:
    case failure_point::kClosedBeforeResponse:
      return lost;
    case failure_point::kResponseTimeout:
      return attempt_result::kTimeout;
    case failure_point::kClosedDuringResponse:
    case failure_point::kResponseTooLarge:
    case failure_point::kResponseUnframed:
    case failure_point::kResponseMalformed:
      return attempt_result::kTruncatedAnswer;
    default:
      // Says nothing about the target.
      return attempt_result::kCancelledByCaller;
  }
}

}  // namespace bulrushshore

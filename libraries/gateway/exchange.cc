#include "libraries/gateway/exchange.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

#include "libraries/event_loop/message_guard.h"
#include "libraries/gateway/failure_response.h"
#include "libraries/http/request_fingerprint.h"
#include "libraries/routing/route_table.h"

namespace bulrushshore {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

// Allows a response that a target sends right at the deadline to be forwarded.
constexpr duration kResponseGracePeriod = std::chrono::milliseconds(100);

// Time reserved for the response to reach the caller before the caller stops
// waiting.
constexpr duration kResponseDeliveryTime = std::chrono::milliseconds(30);

// Minimum time left until the response deadline for an attempt to start. A
// target is unlikely to respond in less.
constexpr duration kMinAttemptTime = std::chrono::milliseconds(15);

// The loss of a reused connection within this time of sending the request says
// little about its target, because the connection had been idle.
constexpr duration kStaleConnectionWindow = std::chrono::milliseconds(60);

// Delay after which a caller whose request found no capacity or no target
// should retry. The random part keeps callers that were refused at the same
// time from retrying at the same time.
constexpr std::int64_t kRetryAfterMs = 200;
constexpr std::uint64_t kRetryAfterSpreadMs = 400;

target_observation ToObservation(exchange_failure failure) {
  switch (failure) {
    case exchange_failure::kConnectFailed:
      return target_observation::kConnectFailed;
    case exchange_failure::kClosedBeforeResponse:
      return target_observation::kConnectionLost;
    case exchange_failure::kTruncatedResponse:
    case exchange_failure::kMalformedResponse:
      return target_observation::kInvalidResponse;
  }
  return target_observation::kConnectionLost;
}

}  // namespace

exchange::exchange(gateway_state& state,
                   proxy_request request,
                   time_point arrival,
                   completion done)
    : state_(state),
      request_(std::move(request)),
      arrival_(arrival),
      done_(std::move(done)),
      timer_(state.loop()) {}

void exchange::Start() {
  attempt_id_ =
      request_.headers.Find(state_.options().headers.attempt_id).value_or("");
  if (!FindRoute()) {
    return;
  }
  SetDeadlines();
  service_ = ChooseService(*route_, state_.random());
  if (RefuseIfHeldBack()) {
    return;
  }
  retry_window& retries = state_.RetriesOf(service_);
  retries.RecordFirstAttempt();
  plan_.emplace(attempt_limits{route_->is_idempotent, route_->max_attempts},
                retries);
  SetOverdueTime();
  StartAttempt("first");
}

bool exchange::FindRoute() {
  rules_ = state_.rules();
  if (!rules_) {
    Refuse("no_rules", std::chrono::milliseconds(kRetryAfterMs));
    return false;
  }
  const std::optional<std::string> host = request_.headers.Find("Host");
  if (!host) {
    Finish(MakeInvalidRequestResponse(kBadRequest, "host_missing"), "refused",
           "host_missing");
    return false;
  }
  route_ = rules_->Find(*host, request_.target);
  if (!route_) {
    Finish(MakeInvalidRequestResponse(kNotFound, "no_route"), "refused",
           "no_route");
    return false;
  }
  return true;
}

void exchange::SetDeadlines() {
  deadline_ = arrival_ + route_->timeout;
  response_deadline_ = deadline_ + kResponseGracePeriod;
  const std::optional<std::string> text =
      request_.headers.Find(state_.options().headers.deadline);
  const std::optional<std::uint64_t> milliseconds =
      text ? ParseDecimal(*text) : std::nullopt;
  // The limit of one day keeps the sum below from overflowing.
  constexpr std::uint64_t kMaxDeadlineMs = 86'400'000;
  if (milliseconds && *milliseconds < kMaxDeadlineMs) {
    const time_point caller_deadline =
        arrival_ + std::chrono::milliseconds(*milliseconds);
    deadline_ = std::min(deadline_, caller_deadline);
    response_deadline_ =
        std::min(response_deadline_, caller_deadline - kResponseDeliveryTime);
  }
}

void exchange::SetOverdueTime() {
  const std::optional<duration> usual =
      state_.durations().DurationIfClassified(route_->name);
  is_duration_known_ = usual.has_value();
  overdue_after_ = usual ? OverdueAfter(*usual, route_->target_latency)
                         : duration(route_->target_latency) * 3 / 5;
}

bool exchange::RefuseIfHeldBack() {
  const std::string host_name = HostNameOf(route_->host_name);
  fingerprint_ = FingerprintOf({.method = request_.method,
                                .target = request_.target,
                                .body = request_.body,
                                .host_name = host_name,
                                .service = service_});
  if (!state_.crashes().HeldUntil(fingerprint_, state_.time().Now())) {
    return false;
  }
  Refuse("held_back", std::nullopt);
  return true;
}

void exchange::StartAttempt(std::string_view cause) {
  const time_point now = state_.time().Now();
  if (deadline_ - now < kMinAttemptTime) {
    PerformStep(plan_->OnNoTarget());
    return;
  }
  const std::optional<registered_target> chosen = state_.ChooseTarget(
      service_, plan_->NextAttemptRole(), tried_target_ids_);
  if (!chosen) {
    PerformStep(plan_->OnNoTarget());
    return;
  }
  const target_entry& target = chosen->entry;
  plan_->OnStart();
  tried_target_ids_.push_back(target.id);
  state_.telemetry().OnAttemptSent(
      attempt_id_, target.id,
      static_cast<std::uint32_t>(tried_target_ids_.size()),
      state_.evidence().Suspicion({target.id, target.started_at_unix_ms}, now),
      cause);
  const std::shared_ptr<attempt> new_attempt = std::make_shared<attempt>();
  new_attempt->target = target;
  new_attempt->connection =
      state_.crashes().IsSuspected(fingerprint_, now)
          ? state_.connections().TakeNew(target)
          : state_.connections().Take(target, route_->is_idempotent);
  new_attempt->was_reused = new_attempt->connection->WasConnected();
  new_attempt->start_time = now;
  attempts_.push_back(new_attempt);
  state_.evidence().BeginRequest(target.id);
  new_attempt->connection->Exchange(
      BuildTargetRequest(target),
      [this, self = shared_from_this()](const proxy_response& response) {
        return BelongsToAttempt(response, state_.options().headers,
                                attempt_id_);
      },
      [self = shared_from_this(), new_attempt](exchange_outcome outcome) {
        self->OnOutcome(new_attempt, std::move(outcome));
      });
  ArmTimer();
}

proxy_request exchange::BuildTargetRequest(const target_entry& target) const {
  proxy_request sent = request_;
  const std::chrono::milliseconds left =
      ToMilliseconds(deadline_ - state_.time().Now());
  sent.headers.Set(state_.options().headers.deadline,
                   std::to_string(left.count()));
  sent.headers.Set(state_.options().headers.expected_target, target.id);
  return sent;
}

void exchange::OnOutcome(const std::shared_ptr<attempt>& ended,
                         exchange_outcome outcome) {
  if (ended->is_done) {
    return;
  }
  ended->is_done = true;
  state_.evidence().EndRequest(ended->target.id);
  attempt_end end = attempt_end::kUnknown;
  if (received_response* received = std::get_if<received_response>(&outcome)) {
    state_.connections().Return(ended->target, ended->connection,
                                received->keep_alive_timeout);
    end = OnResponseReceived(*ended, std::move(*received));
  } else {
    end = OnFailure(*ended, std::get<exchange_failure>(outcome));
  }
  ended->connection.reset();
  state_.AdvanceRetries(service_);
  const next_step step = plan_->OnEnd(end);
  if (!is_finished_) {
    PerformStep(is_caller_disconnected_ && step == next_step::kTryAnotherTarget
                    ? plan_->OnNoTarget()
                    : step);
  }
}

attempt_end exchange::OnResponseReceived(const attempt& ended,
                                         received_response received) {
  const response_evaluation evaluation =
      EvaluateResponse(received.response, state_.options().headers, attempt_id_,
                       ended.was_reused);
  if (evaluation.end == attempt_end::kWrongTarget) {
    state_.Disown(ended.target);
    return evaluation.end;
  }
  state_.HandleSignals(
      ended.target,
      ReadTargetSignals(received.response, state_.options().headers));
  const time_point now = state_.time().Now();
  if (evaluation.proves_completion) {
    state_.crashes().RecordCompleted(fingerprint_, now);
  }
  switch (evaluation.end) {
    case attempt_end::kAnswered:
      state_.Observe(ended.target, target_observation::kSuccess);
      state_.durations().Record(route_->name, now - ended.start_time);
      response_ = std::move(received.response);
      break;
    case attempt_end::kErrorResponse:
      // Status 504 means that the target exceeded the request's deadline. Its
      // slowness is reported separately, as kOverdue.
      if (received.response.status != kGatewayTimeout) {
        ReportObservation(ended, target_observation::kFailure);
      }
      error_response_ = std::move(received.response);
      break;
    case attempt_end::kNotExecuted:
      ReportObservation(ended, target_observation::kRefused);
      break;
    case attempt_end::kWrongTarget:
    case attempt_end::kNotSent:
    case attempt_end::kUnknown:
      ReportObservation(ended, target_observation::kInvalidResponse);
      break;
  }
  return evaluation.end;
}

attempt_end exchange::OnFailure(const attempt& ended,
                                exchange_failure failure) {
  const duration elapsed = state_.time().Now() - ended.start_time;
  target_observation observation = ToObservation(failure);
  const bool is_stale_connection =
      observation == target_observation::kConnectionLost && ended.was_reused &&
      elapsed < kStaleConnectionWindow;
  if (is_stale_connection) {
    observation = target_observation::kReusedConnectionLost;
  }
  ReportObservation(ended, observation);
  if (failure == exchange_failure::kConnectFailed) {
    state_.connections().Drop(ended.target.id);
    return attempt_end::kNotSent;
  }
  if (failure == exchange_failure::kClosedBeforeResponse) {
    // A target that crashes at once looks like one that had closed the idle
    // connection.
    state_.RecordLoss(fingerprint_, ended.target.id,
                      is_stale_connection ? loss_evidence::kPossible
                                          : loss_evidence::kCertain);
  }
  return attempt_end::kUnknown;
}

void exchange::ReportObservation(const attempt& ended,
                                 target_observation observation) {
  const time_point now = state_.time().Now();
  state_.telemetry().OnAttemptFailed(
      attempt_id_, ended.target.id, observation,
      state_.evidence().Suspicion(
          {ended.target.id, ended.target.started_at_unix_ms}, now),
      now - ended.start_time);
  state_.Observe(ended.target, observation);
}

void exchange::PerformStep(next_step step) {
  switch (step) {
    case next_step::kDeliverResponse:
      Finish(std::move(*response_), "answered", "");
      return;
    case next_step::kTryAnotherTarget:
      StartAttempt("again");
      return;
    case next_step::kWait:
      ArmTimer();
      return;
    case next_step::kDeliverErrorResponse:
      Finish(std::move(*error_response_), "answered", "target_error");
      return;
    case next_step::kRefuse:
      RefuseWithoutTarget();
      return;
    case next_step::kFail:
      Finish(MakeUnknownOutcomeResponse(kBadGateway, "target_failed"),
             "unknown", "target_failed");
      return;
  }
}

void exchange::RefuseWithoutTarget() {
  const std::chrono::milliseconds spread(
      static_cast<std::int64_t>(state_.random().Uniform(kRetryAfterSpreadMs)));
  const std::optional<time_point> resting_until = state_.RestingUntil(service_);
  if (resting_until) {
    Refuse("targets_resting",
           ToMilliseconds(*resting_until - state_.time().Now()) + spread);
    return;
  }
  Refuse(tried_target_ids_.empty() ? "no_target" : "targets_refused",
         std::chrono::milliseconds(kRetryAfterMs) + spread);
}

void exchange::ArmTimer() {
  if (is_finished_) {
    return;
  }
  time_point next = response_deadline_;
  for (const std::shared_ptr<attempt>& entry : attempts_) {
    if (!entry->is_done && !entry->is_overdue) {
      next = std::min(next, entry->start_time + overdue_after_);
    }
  }
  timer_.expires_at(next);
  timer_.async_wait([self = shared_from_this()](const socket_error& error) {
    if (error) {
      return;
    }
    if (!RunGuarded("timer of a request", [&self] { self->OnTimer(); })) {
      self->FailGuarded();
    }
  });
}

void exchange::FailGuarded() {
  // If this throws, too, the end of the caller's connection ends the request.
  (void)RunGuarded("failed request", [this] {
    if (!is_finished_) {
      Finish(MakeUnknownOutcomeResponse(kBadGateway, "internal_error"),
             "unknown", "internal_error");
    }
  });
}

void exchange::OnTimer() {
  if (is_finished_) {
    return;
  }
  const time_point now = state_.time().Now();
  if (now >= response_deadline_) {
    const bool may_have_run = plan_->MayHaveRun();
    CancelAttempts();
    if (error_response_) {
      Finish(std::move(*error_response_), "answered", "target_error");
    } else if (may_have_run) {
      Finish(MakeUnknownOutcomeResponse(kGatewayTimeout, "timeout"), "unknown",
             "timeout");
    } else {
      Refuse("timeout_before_start", std::nullopt);
    }
    return;
  }
  const std::vector<std::shared_ptr<attempt>> present = attempts_;
  for (const std::shared_ptr<attempt>& entry : present) {
    if (!entry->is_done && !entry->is_overdue &&
        now >= entry->start_time + overdue_after_) {
      OnOverdue(*entry);
    }
  }
  ArmTimer();
}

void exchange::OnOverdue(attempt& overdue) {
  overdue.is_overdue = true;
  if (is_duration_known_) {
    ReportObservation(overdue, target_observation::kOverdue);
  }
  state_.AdvanceRetries(service_);
  if (!is_caller_disconnected_ && plan_->TryStartSecondAttempt()) {
    StartAttempt("overdue");
  }
}

void exchange::CancelAttempts() {
  for (const std::shared_ptr<attempt>& entry : attempts_) {
    if (entry->is_done) {
      continue;
    }
    entry->is_done = true;
    state_.evidence().EndRequest(entry->target.id);
    entry->connection->Close();
    entry->connection.reset();
  }
}

void exchange::OnCallerDisconnected() {
  if (is_finished_) {
    return;
  }
  is_caller_disconnected_ = true;
  done_ = nullptr;
  if (IsIdempotent()) {
    CancelAttempts();
    Finish({}, "caller_gone", "");
  }
}

void exchange::Refuse(std::string_view reason,
                      std::optional<std::chrono::milliseconds> retry_after) {
  Finish(MakeRefusalResponse(reason, retry_after), "not_run", reason);
}

void exchange::Finish(proxy_response response,
                      std::string_view outcome,
                      std::string_view reason) {
  assert(!is_finished_);
  is_finished_ = true;
  timer_.cancel();
  CancelAttempts();
  state_.telemetry().OnFinished(
      {.attempt_id = attempt_id_,
       .route = route_ ? std::string_view{route_->name} : "",
       .service = service_,
       .target = tried_target_ids_.empty()
                     ? ""
                     : std::string_view{tried_target_ids_.back()},
       .outcome = outcome,
       .reason = reason,
       .status = response.status,
       .attempts = static_cast<std::uint32_t>(tried_target_ids_.size()),
       .rules_version = rules_ ? rules_->rules().version : 0,
       .elapsed = state_.time().Now() - arrival_});
  if (!service_.empty() && !is_caller_disconnected_) {
    state_.RecordOutcome(service_, IsIdempotent(),
                         outcome == "answered" && reason.empty());
  }
  const completion done = std::exchange(done_, nullptr);
  if (done) {
    done(std::move(response));
  }
}

}  // namespace bulrushshore

#include "tests/idempotency/ownership_step.h"

#include <chrono>
#include <utility>

#include "libraries/base/clock.h"
#include "libraries/idempotency/handover.h"
#include "libraries/proxy/key_claims.h"
#include "tests/proxy/fakes.h"

namespace bulrushshore {
namespace {

constexpr std::string_view kForeignKey = "payment-of-another-format";

std::string HostId(std::size_t host) {
  return "host-" + std::to_string(host);
}

// The caller part that claims give to the foreign key.
const std::string& ForeignCallerPart() {
  static const std::string part = [] {
    std::optional<std::string> object;
    explored_claim_store store(object, store_behaviour::kWorks, true, nullptr);
    const manual_clock time;
    const fake_directory directory{host_record()};
    object_store_key_claims claims(store, time, directory, {});
    return ValueOf(claims.Claim(kForeignKey,
                                {HostId(0), IncarnationOfProcess(0), 0, ""}))
        .caller_part;
  }();
  return part;
}

std::string BodyOfRun(std::size_t key, std::size_t run) {
  return "k" + std::to_string(key) + "-" + std::to_string(run);
}

failure_point FailureOfAnswer(key_answer answer) {
  switch (answer) {
    case key_answer::kResponseNotKept:
      return failure_point::kKeyResponseNotKept;
    case key_answer::kFirstAttemptNotStarted:
      return failure_point::kFirstAttemptNotStarted;
    case key_answer::kWaitTimeout:
      return failure_point::kKeyWaitTimeout;
    case key_answer::kExpired:
      return failure_point::kKeyExpired;
    case key_answer::kTableFull:
      return failure_point::kKeyTableFull;
    case key_answer::kNotIssued:
      return failure_point::kKeyNotIssued;
    case key_answer::kDifferentRequest:
      return failure_point::kKeyReused;
    case key_answer::kSealed:
      return failure_point::kKeySealed;
    case key_answer::kNotOwner:
      return failure_point::kKeyOwnerGone;
    case key_answer::kRun:
    case key_answer::kStoredResponse:
    case key_answer::kOutcomeUnknown:
      break;
  }
  return failure_point::kKeyOutcomeUnknown;
}

failure_point FailureOfAttempt(attempt_end end) {
  return end == attempt_end::kNotStarted ? failure_point::kNothingSent
                                         : failure_point::kResponseTimeout;
}

}  // namespace

time_point ExplorationTime() {
  return time_point(std::chrono::hours(1));
}

std::size_t OwningProcess(const ownership_scenario& scenario,
                          const ownership_state& state,
                          std::size_t request) {
  const explored_key& key = scenario.keys[scenario.requests[request]];
  return key.is_foreign ? *state.requests[request].bound_process : key.host;
}

void ownership_world::step::Apply(const ownership_event& event) {
  switch (event.type) {
    case ownership_event_type::kCrash:
    case ownership_event_type::kRestart:
    case ownership_event_type::kStopGracefully:
    case ownership_event_type::kExit:
    case ownership_event_type::kDeliverHandover:
    case ownership_event_type::kDeliverHandoverCopy:
    case ownership_event_type::kLoseHandover:
    case ownership_event_type::kPause:
    case ownership_event_type::kResume:
      return ApplyToProcess(event);
    default:
      return ApplyToRequest(event);
  }
}

void ownership_world::step::ApplyToRequest(const ownership_event& event) {
  explored_request& request = state_.requests[event.subject];
  switch (event.type) {
    case ownership_event_type::kSend:
      request.stage = request_stage::kTravelling;
      request.host = event.object;
      return;
    case ownership_event_type::kArrive:
      return Arrive(event.subject, store_behaviour::kWorks, nullptr);
    case ownership_event_type::kArriveInOutage:
      return Arrive(event.subject, store_behaviour::kOutage, nullptr);
    case ownership_event_type::kArriveWithLostReply:
      return Arrive(event.subject, store_behaviour::kLosesReply, nullptr);
    case ownership_event_type::kArriveWithLostWrite:
      return Arrive(event.subject, store_behaviour::kLosesRequest, nullptr);
    case ownership_event_type::kArriveAndLoseRace:
      return Arrive(event.subject, store_behaviour::kWorks,
                    [this, other = event.object] {
                      Arrive(other, store_behaviour::kWorks, nullptr);
                    });
    case ownership_event_type::kLose:
      return Fail(event.subject, failure_point::kKeyOwnerUnreachable);
    case ownership_event_type::kForward:
      return Forward(event.subject, event.object);
    case ownership_event_type::kFindNoOwner:
      return Fail(event.subject, failure_point::kKeyOwnerGone);
    case ownership_event_type::kForwardTimeout:
      request.has_caller = false;
      request.origin = 0;
      return;
    case ownership_event_type::kSendToTarget:
      request.stage = request_stage::kSent;
      request.target = target_stage::kArriving;
      return;
    case ownership_event_type::kEndBeforeSending:
      return EndAttempt(event.subject, attempt_end::kNotStarted);
    case ownership_event_type::kTargetStarts:
      return StartAtTarget(event.subject);
    case ownership_event_type::kTargetAnswers:
      return EndAttempt(event.subject, attempt_end::kAnswered);
    case ownership_event_type::kTargetAnswerLost:
      return EndAttempt(event.subject, attempt_end::kUnknown);
    default:
      return;
  }
}

void ownership_world::step::ApplyToProcess(const ownership_event& event) {
  switch (event.type) {
    case ownership_event_type::kCrash:
      ++state_.crashes;
      return EndProcess(event.subject);
    case ownership_event_type::kExit:
      return EndProcess(event.subject);
    case ownership_event_type::kRestart:
      return Restart(event.subject);
    case ownership_event_type::kStopGracefully:
      return StopGracefully(event.subject, event.object);
    case ownership_event_type::kDeliverHandover:
      return Deliver(event.subject, /*is_copied=*/false);
    case ownership_event_type::kDeliverHandoverCopy:
      return Deliver(event.subject, /*is_copied=*/true);
    case ownership_event_type::kLoseHandover:
      state_.transfers.erase(state_.transfers.begin() +
                             static_cast<std::ptrdiff_t>(event.subject));
      return;
    case ownership_event_type::kPause:
      ++state_.pauses;
      state_.processes[event.subject].is_paused = true;
      return;
    case ownership_event_type::kResume:
      state_.processes[event.subject].is_paused = false;
      return;
    default:
      return;
  }
}

void ownership_world::step::StartProcess(std::size_t host) {
  const std::size_t index = state_.processes.size();
  idempotency_limits limits;
  limits.max_entries = scenario_.max_table_entries;
  explored_process& started = state_.processes.emplace_back();
  started.host = host;
  started.owner = std::make_shared<const key_owner_model>(
      limits, IncarnationOfProcess(index), ExplorationTime());
  state_.announced.emplace_back(scenario_.hosts, false);
  state_.announced.back()[host] = true;
  ChangeOwner(index, [](key_owner_model&) {});
}

void ownership_world::step::ChangeOwner(std::size_t process,
                                        const owner_change& change) {
  explored_process& changed = state_.processes[process];
  const std::shared_ptr<key_owner_model> copy =
      std::make_shared<key_owner_model>(*changed.owner);
  change(*copy);
  changed.signature = copy->Signature(KnownKeys(), ExplorationTime());
  changed.owner = copy;
}

void ownership_world::step::Arrive(std::size_t request,
                                   store_behaviour behaviour,
                                   std::function<void()> before_write) {
  const std::size_t process =
      *ProcessAtHost(state_, state_.requests[request].host);
  if (BindForeignKey(request, process, behaviour, std::move(before_write))) {
    ClaimAt(request, process);
  }
}

bool ownership_world::step::BindForeignKey(std::size_t request,
                                           std::size_t process,
                                           store_behaviour behaviour,
                                           std::function<void()> before_write) {
  if (!scenario_.keys[scenario_.requests[request]].is_foreign) {
    return true;
  }
  explored_claim_store store(
      state_.claim_object, behaviour,
      scenario_.left_out != left_out_mechanism::kConditionalCreate,
      std::move(before_write));
  const manual_clock time;
  const fake_directory directory{host_record()};
  object_store_key_claims claims(store, time, directory, {});
  const result<idempotency_key> bound = claims.Claim(
      kForeignKey, {HostId(state_.processes[process].host),
                    IncarnationOfProcess(process), 0, std::string()});
  if (!IsOk(bound)) {
    Fail(request, failure_point::kKeyClaimUnavailable);
    return false;
  }
  state_.requests[request].bound_process =
      ProcessOfIncarnation(ValueOf(bound).incarnation);
  return true;
}

void ownership_world::step::ClaimAt(std::size_t request, std::size_t process) {
  state_.requests[request].process = process;
  state_.requests[request].host = 0;
  const idempotency_key key = KeyOf(request);
  std::optional<key_claim_answer> claimed;
  ChangeOwner(process, [&](key_owner_model& owner) {
    claimed = owner.Claim(key, request, ExplorationTime());
  });
  if (!claimed.has_value()) {
    state_.requests[request].stage = request_stage::kWaiting;
    return;
  }
  TakeAnswer(request, *claimed);
}

void ownership_world::step::TakeAnswer(std::size_t request,
                                       const key_claim_answer& claimed) {
  switch (claimed.answer) {
    case key_answer::kRun:
      state_.requests[request].stage = request_stage::kAllowed;
      return;
    case key_answer::kStoredResponse:
      return Answer(request, claimed.response->body);
    case key_answer::kNotOwner:
    case key_answer::kSealed:
      return LookForOwner(request, FailureOfAnswer(claimed.answer));
    default:
      return Fail(request, FailureOfAnswer(claimed.answer));
  }
}

void ownership_world::step::LookForOwner(std::size_t request,
                                         failure_point without_owner) {
  if (!state_.requests[request].is_forwarded) {
    state_.requests[request].stage = request_stage::kLooksForOwner;
    return;
  }
  Fail(request, without_owner == failure_point::kKeySealed
                    ? failure_point::kKeySealed
                    : failure_point::kKeyForwardedTwice);
}

void ownership_world::step::Forward(std::size_t request, std::size_t host) {
  explored_request& forwarded = state_.requests[request];
  forwarded.stage = request_stage::kTravelling;
  forwarded.host = host;
  forwarded.origin = forwarded.process;
  forwarded.process = 0;
  forwarded.is_forwarded = true;
  forwarded.bound_process.reset();
}

void ownership_world::step::StartAtTarget(std::size_t request) {
  const std::size_t key = scenario_.requests[request];
  state_.requests[request].target =
      state_.requests[request].stage == request_stage::kSent
          ? target_stage::kStarted
          : target_stage::kIdle;
  if (++state_.starts[key] > 1) {
    Violate("key " + std::to_string(key) + " started twice");
  }
}

void ownership_world::step::EndAttempt(std::size_t request, attempt_end end) {
  const std::size_t key = scenario_.requests[request];
  const std::string body = BodyOfRun(key, state_.starts[key]);
  end_message message{KeyOf(request), end, nullptr};
  if (end == attempt_end::kAnswered) {
    constexpr int kCreated = 201;
    message.response = std::make_shared<const stored_response>(
        stored_response{kCreated, {}, body});
  }
  std::vector<late_answer> late;
  ChangeOwner(state_.requests[request].process,
              [&](key_owner_model& owner) { late = owner.End(message); });
  if (end == attempt_end::kAnswered) {
    Answer(request, body);
  } else {
    Fail(request, FailureOfAttempt(end));
  }
  for (const late_answer& answer : late) {
    TakeAnswer(answer.request, answer.answer);
  }
}

void ownership_world::step::StopGracefully(std::size_t process,
                                           std::size_t successor_host) {
  ++state_.graceful_stops;
  state_.processes[process].is_leaving = true;
  handover exported;
  if (scenario_.left_out == left_out_mechanism::kSealBeforeExport) {
    key_owner_model copy = *state_.processes[process].owner;
    exported = copy.SealAndExport(ExplorationTime());
  } else {
    ChangeOwner(process, [&](key_owner_model& owner) {
      exported = owner.SealAndExport(ExplorationTime());
    });
  }
  if (scenario_.left_out == left_out_mechanism::kRunningKeysInHandover) {
    for (incarnation_export& part : exported.incarnations) {
      std::erase_if(part.entries, [](const exported_key& key) {
        return key.state == key_state::kUnknown;
      });
    }
  }
  state_.transfers.push_back(
      {successor_host, *ProcessAtHost(state_, successor_host), process,
       std::make_shared<const std::vector<std::string>>(
           EncodeHandover(exported, kMaxHandoverPartBytes))});
}

void ownership_world::step::Deliver(std::size_t transfer, bool is_copied) {
  const explored_transfer delivered = state_.transfers[transfer];
  if (is_copied) {
    ++state_.copied_handovers;
  } else {
    state_.transfers.erase(state_.transfers.begin() +
                           static_cast<std::ptrdiff_t>(transfer));
  }
  const std::size_t receiver = *ProcessAtHost(state_, delivered.host);
  const bool is_meant =
      receiver == delivered.successor ||
      scenario_.left_out == left_out_mechanism::kSuccessorIncarnation;
  if (!is_meant || state_.processes[receiver].is_leaving) {
    return;
  }
  const result<handover> received = DecodeHandover(*delivered.parts);
  status imported = OkStatus();
  ChangeOwner(receiver, [&](key_owner_model& owner) {
    imported = owner.Import(ValueOf(received), ExplorationTime());
  });
  if (!IsOk(imported)) {
    return;
  }
  for (const incarnation_export& part : ValueOf(received).incarnations) {
    state_.announced[ProcessOfIncarnation(part.incarnation)][delivered.host] =
        true;
  }
}

void ownership_world::step::EndProcess(std::size_t process) {
  explored_process& ended = state_.processes[process];
  ended = {ended.host, /*is_gone=*/true, false, false, nullptr, std::string()};
  for (std::size_t index = 0; index < state_.requests.size(); ++index) {
    explored_request& request = state_.requests[index];
    if (request.is_forwarded && request.has_caller &&
        request.origin == process) {
      request.has_caller = false;
      request.origin = 0;
    }
    const bool is_there = request.stage != request_stage::kUnsent &&
                          request.stage != request_stage::kTravelling &&
                          request.stage != request_stage::kDone &&
                          request.process == process;
    if (is_there) {
      Fail(index, failure_point::kKeyOwnerUnreachable);
    }
  }
}

void ownership_world::step::Restart(std::size_t host) {
  ++state_.restarts;
  std::size_t previous = 0;
  for (std::size_t index = 0; index < state_.processes.size(); ++index) {
    if (state_.processes[index].host == host) {
      previous = index;
    }
  }
  StartProcess(host);
  if (scenario_.left_out == left_out_mechanism::kIncarnationOwnership) {
    const handover fresh{{{IncarnationOfProcess(previous), 0, 0, {}}}};
    ChangeOwner(state_.processes.size() - 1, [&](key_owner_model& owner) {
      (void)owner.Import(fresh, ExplorationTime());
    });
  }
}

void ownership_world::step::Fail(std::size_t request, failure_point point) {
  const std::size_t key = scenario_.requests[request];
  const outcome told = OutcomeOf(point);
  const bool says_not_started =
      told.kind == outcome_kind::kNotRun || told.kind == outcome_kind::kRefused;
  bool can_start = state_.starts[key] > 0;
  for (std::size_t index = 0; index < state_.requests.size(); ++index) {
    can_start =
        can_start || (scenario_.requests[index] == key &&
                      state_.requests[index].target == target_stage::kArriving);
  }
  if (state_.requests[request].has_caller && says_not_started && can_start) {
    Violate("request " + std::to_string(request) + " was told " +
            std::string(told.reason) + ", but its key started or is sent");
  }
  Finish(request);
}

void ownership_world::step::Answer(std::size_t request,
                                   const std::string& body) {
  const std::size_t key = scenario_.requests[request];
  if (state_.requests[request].has_caller) {
    std::string& first = state_.first_answers[key];
    if (first.empty()) {
      first = body;
    }
    if (first != body || state_.starts[key] == 0) {
      Violate("request " + std::to_string(request) + " got the answer " + body +
              ", another one got " + first);
    }
  }
  Finish(request);
}

// What no longer matters is reset, so that more states are equal.
void ownership_world::step::Finish(std::size_t request) {
  explored_request& finished = state_.requests[request];
  const target_stage target = finished.target == target_stage::kArriving
                                  ? target_stage::kArriving
                                  : target_stage::kIdle;
  finished = {};
  finished.stage = request_stage::kDone;
  finished.target = target;
  finished.has_caller = false;
}

idempotency_key ownership_world::step::KeyOf(std::size_t request) const {
  const std::size_t key = scenario_.requests[request];
  const std::size_t owner = OwningProcess(scenario_, state_, request);
  return {HostId(state_.processes[owner].host), IncarnationOfProcess(owner), 0,
          scenario_.keys[key].is_foreign ? ForeignCallerPart()
                                         : "k" + std::to_string(key)};
}

std::vector<idempotency_key> ownership_world::step::KnownKeys() const {
  std::vector<idempotency_key> keys;
  for (std::size_t key = 0; key < scenario_.keys.size(); ++key) {
    if (!scenario_.keys[key].is_foreign) {
      const std::size_t owner = scenario_.keys[key].host;
      keys.push_back({HostId(owner), IncarnationOfProcess(owner), 0,
                      "k" + std::to_string(key)});
      continue;
    }
    // Any process may be the one that the key is bound to.
    const std::size_t processes = scenario_.hosts + scenario_.max_restarts;
    for (std::size_t process = 0; process < processes; ++process) {
      keys.push_back({std::string(), IncarnationOfProcess(process), 0,
                      ForeignCallerPart()});
    }
  }
  return keys;
}

void ownership_world::step::Violate(const std::string& description) {
  if (state_.violation.empty()) {
    state_.violation = description;
  }
}

}  // namespace bulrushshore

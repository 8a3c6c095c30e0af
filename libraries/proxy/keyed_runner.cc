#include "libraries/proxy/keyed_runner.h"

#include <optional>
#include <utility>
#include <variant>

namespace bulrushshore {
namespace {

stored_response ToStored(const proxy_response& response) {
  stored_response stored;
  stored.status = response.status;
  for (const http_header& field : response.headers.fields()) {
    stored.headers.push_back({field.name, field.value});
  }
  stored.body = response.body;
  return stored;
}

proxy_response FromStored(const stored_response& stored) {
  proxy_response response;
  response.status = stored.status;
  for (const stored_header& field : stored.headers) {
    response.headers.Add(field.name, field.value);
  }
  response.body = stored.body;
  return response;
}

failure_point FailurePointOfClaim(key_answer answer) {
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

keyed_runner::keyed_result Failed(failure_point point) {
  keyed_runner::keyed_result failed;
  failed.result.outcome = point;
  return failed;
}

failure_point FailurePointOfForwarding(failure_point point) {
  return point == failure_point::kResponseTimeout
             ? failure_point::kResponseTimeout
             : failure_point::kKeyOwnerUnreachable;
}

}  // namespace

keyed_runner::keyed_runner(const collaborators& parts) : parts_(parts) {}

keyed_runner::keyed_result keyed_runner::Run(const keyed_request& request) {
  const std::variant<idempotency_key, failure_point> resolved =
      ResolveKey(request);
  if (const failure_point* point = std::get_if<failure_point>(&resolved)) {
    return Failed(*point);
  }
  const idempotency_key& key = std::get<idempotency_key>(resolved);
  const key_claim_answer claimed = parts_.keys.Claim(
      {key, request.to_run.fingerprint, request.to_run.deadline});
  keyed_result result;
  switch (claimed.answer) {
    case key_answer::kRun:
      result.result = RunOwned(key, request.to_run);
      return result;
    case key_answer::kStoredResponse:
      result.result.outcome = FromStored(*claimed.response);
      result.is_stored = true;
      return result;
    case key_answer::kNotOwner:
    case key_answer::kSealed:
      return Forward(key, request, FailurePointOfClaim(claimed.answer));
    default:
      return Failed(FailurePointOfClaim(claimed.answer));
  }
}

std::variant<idempotency_key, failure_point> keyed_runner::ResolveKey(
    const keyed_request& request) {
  if (HasOwnKeyPrefix(request.key)) {
    const result<idempotency_key> parsed = ParseIdempotencyKey(request.key);
    if (!IsOk(parsed)) {
      return failure_point::kKeyMalformed;
    }
    return ValueOf(parsed);
  }
  if (!IsValidForeignKey(request.key)) {
    return failure_point::kKeyMalformed;
  }
  const host_record self = parts_.directory.Self();
  const result<idempotency_key> claimed = parts_.claims.Claim(
      request.key,
      {self.id, self.incarnation, parts_.keys.Generation(), std::string()});
  if (IsOk(claimed)) {
    return ValueOf(claimed);
  }
  return ErrorOf(claimed).code == error_code::kResourceExhausted
             ? failure_point::kKeyClaimBudget
             : failure_point::kKeyClaimUnavailable;
}

work_result keyed_runner::RunOwned(const idempotency_key& key,
                                   const work& to_run) {
  work_result result = parts_.attempts.Run(to_run);
  if (const proxy_response* response =
          std::get_if<proxy_response>(&result.outcome)) {
    parts_.keys.Complete(key, ToStored(*response));
  } else if (MayHaveStarted(std::get<failure_point>(result.outcome))) {
    parts_.keys.CompleteUnknown(key);
  } else {
    parts_.keys.Abandon(key);
  }
  return result;
}

keyed_runner::keyed_result keyed_runner::Forward(const idempotency_key& key,
                                                 const keyed_request& request,
                                                 failure_point without_owner) {
  if (request.is_forwarded) {
    return Failed(without_owner == failure_point::kKeySealed
                      ? failure_point::kKeySealed
                      : failure_point::kKeyForwardedTwice);
  }
  const std::optional<host_record> owner =
      parts_.directory.FindKeyOwner(key.incarnation);
  const host_record self = parts_.directory.Self();
  if (!owner.has_value() || owner->incarnation == self.incarnation) {
    return Failed(without_owner);
  }
  exchange_request exchange;
  exchange.address = owner->caller_address;
  exchange.message = request.received;
  exchange.message.headers.Set("X-Forwarded-For-Key", "1");
  exchange.deadline = request.to_run.deadline;
  exchange.needs_new_connection = true;
  exchange_result exchanged = parts_.client.Exchange(std::move(exchange));
  if (const failure_point* point =
          std::get_if<failure_point>(&exchanged.outcome)) {
    // Never not_run: an earlier attempt may have run the key at its owner.
    return Failed(FailurePointOfForwarding(*point));
  }
  proxy_response response =
      std::move(std::get<proxy_response>(exchanged.outcome));
  if (!response.headers.Find("X-Outcome").has_value()) {
    // Some other server has taken over the address.
    return Failed(failure_point::kKeyOwnerUnreachable);
  }
  RemoveHopByHopHeaders(response.headers);
  keyed_result result;
  result.is_from_owner = true;
  result.result.target = owner->id;
  result.result.outcome = std::move(response);
  return result;
}

}  // namespace bulrushshore

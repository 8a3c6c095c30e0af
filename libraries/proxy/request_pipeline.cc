#include "libraries/proxy/request_pipeline.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libraries/http/request_fingerprint.h"

namespace bulrushshore {
namespace {

constexpr std::string_view kDiscoveryPrefix = "/_bulrush/";
constexpr std::size_t kMaxOrganisationBytes = 64;
constexpr std::chrono::milliseconds kDefaultRetryAfter{1000};
// Headers whose repetition would leave open which value counts.
constexpr std::array<std::string_view, 4> kSingleHeaders = {
    "Idempotency-Key", "X-Organisation", "X-Request-Deadline-Ms",
    "X-Forwarded-For-Key"};

bool IsOrganisationName(std::string_view text) {
  return text.size() <= kMaxOrganisationBytes &&
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
             std::string_view::npos;
}

query_parameters ParseQuery(std::string_view query) {
  query_parameters parameters;
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    const std::string_view value = equals == std::string_view::npos
                                       ? std::string_view()
                                       : pair.substr(equals + 1);
    parameters.emplace(pair.substr(0, equals), value);
    if (end == std::string_view::npos) {
      break;
    }
    query.remove_prefix(end + 1);
  }
  return parameters;
}

int StatusOf(error_code code) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kServiceUnavailable = 503;
  switch (code) {
    case error_code::kNotFound:
      return kNotFound;
    case error_code::kInvalidArgument:
      return kBadRequest;
    default:
      return kServiceUnavailable;
  }
}

outcome_kind OutcomeKindOf(const proxy_response& response) {
  const std::string name = response.headers.Find("X-Outcome").value_or("");
  for (const outcome_kind kind :
       {outcome_kind::kAnswered, outcome_kind::kNotRun,
        outcome_kind::kRefused}) {
    if (name == OutcomeKindName(kind)) {
      return kind;
    }
  }
  return outcome_kind::kUnknown;
}

proxy_response MakeJsonResponse(int status, const nlohmann::json& body) {
  proxy_response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body.dump();
  return response;
}

}  // namespace

request_pipeline::request_pipeline(std::string host_id,
                                   const collaborators& parts)
    : host_id_(std::move(host_id)), parts_(parts) {}

proxy_response request_pipeline::Handle(proxy_request request,
                                        int caller_socket) {
  request_context context;
  context.arrival = parts_.source.Now();
  context.record.request_id = request.headers.Find("X-Request-Id").value_or("");
  context.record.method = request.method;
  context.record.path = request.target.substr(0, request.target.find('?'));
  const result<request_target> target = ParseRequestTarget(request.target);
  context.received = std::move(request);
  if (!IsOk(target)) {
    return Fail(context, failure_point::kMalformedTarget, kDefaultRetryAfter);
  }
  if (ValueOf(target).path.starts_with(kDiscoveryPrefix)) {
    return Discover(context.received, ValueOf(target));
  }
  context.received.target = ValueOf(target).ToString();
  context.record.path = ValueOf(target).path;
  context.to_run.caller_socket = caller_socket;
  const step_failure failed = Prepare(context);
  if (failed.has_value()) {
    return Fail(context, *failed, kDefaultRetryAfter);
  }
  return Run(context);
}

proxy_response request_pipeline::Reject(failure_point point) {
  parts_.accounting.AddUnread(point);
  proxy_response response = MakeFailureResponse(point, kDefaultRetryAfter);
  response.headers.Set("X-Served-By", host_id_);
  return response;
}

request_pipeline::step_failure request_pipeline::Prepare(
    request_context& context) {
  using step = step_failure (request_pipeline::*)(request_context&);
  constexpr std::array<step, 5> kSteps = {
      &request_pipeline::Match, &request_pipeline::CheckHeaders,
      &request_pipeline::SetDeadline, &request_pipeline::CheckBody,
      &request_pipeline::CheckKey};
  for (const step next : kSteps) {
    const step_failure failed = (this->*next)(context);
    if (failed.has_value()) {
      return failed;
    }
  }
  PrepareMessage(context);
  return std::nullopt;
}

request_pipeline::step_failure request_pipeline::Match(
    request_context& context) {
  context.configuration = parts_.configuration.Current();
  const std::string host_name =
      HostNameOf(context.received.headers.Find("Host").value_or(""));
  context.matched =
      context.configuration->routes.Find(context.record.path, host_name);
  if (context.matched == nullptr &&
      context.configuration->snapshot->version == 0) {
    return context.received.headers.Find("Idempotency-Key")
               ? failure_point::kNoConfigurationForKey
               : failure_point::kNoConfiguration;
  }
  if (context.matched == nullptr) {
    return failure_point::kNoRoute;
  }
  context.record.route = context.matched->name;
  context.record.service = context.matched->service;
  const std::map<std::string, service>& services =
      context.configuration->snapshot->contents.services;
  const auto called = services.find(context.matched->service);
  if (called == services.end()) {
    return failure_point::kUnknownService;
  }
  context.called = &called->second;
  return std::nullopt;
}

request_pipeline::step_failure request_pipeline::CheckHeaders(
    request_context& context) {
  const http_headers& headers = context.received.headers;
  for (const std::string_view name : kSingleHeaders) {
    if (headers.Count(name) > 1) {
      return failure_point::kMalformedHeaderValue;
    }
  }
  context.record.organisation = headers.Find("X-Organisation").value_or("");
  if (!IsOrganisationName(context.record.organisation)) {
    return failure_point::kMalformedHeaderValue;
  }
  context.is_forwarded = headers.Find("X-Forwarded-For-Key").has_value();
  context.record.is_forwarded_here = context.is_forwarded;
  return std::nullopt;
}

request_pipeline::step_failure request_pipeline::SetDeadline(
    request_context& context) {
  std::chrono::milliseconds limit = context.called->timeout;
  const std::optional<std::string> given =
      context.received.headers.Find("X-Request-Deadline-Ms");
  if (given.has_value()) {
    const std::optional<std::uint64_t> milliseconds = ParseDecimal(*given);
    if (!milliseconds.has_value()) {
      return failure_point::kMalformedHeaderValue;
    }
    if (*milliseconds < static_cast<std::uint64_t>(limit.count())) {
      limit = std::chrono::milliseconds(*milliseconds);
    }
  }
  context.to_run.deadline = context.arrival + limit;
  if (limit <= std::chrono::milliseconds(0)) {
    return failure_point::kDeadlineTooShort;
  }
  return std::nullopt;
}

request_pipeline::step_failure request_pipeline::CheckBody(
    request_context& context) {
  if (context.received.body.size() > context.called->max_body_bytes) {
    return failure_point::kBodyTooLarge;
  }
  return std::nullopt;
}

request_pipeline::step_failure request_pipeline::CheckKey(
    request_context& context) {
  if (context.matched->is_idempotent) {
    return std::nullopt;
  }
  const std::optional<std::string> key =
      context.received.headers.Find("Idempotency-Key");
  if (!key.has_value()) {
    return context.matched->is_key_required
               ? step_failure(failure_point::kKeyMissing)
               : std::nullopt;
  }
  if (key->empty()) {
    return failure_point::kKeyMalformed;
  }
  context.key = *key;
  return std::nullopt;
}

void request_pipeline::PrepareMessage(request_context& context) {
  RemoveHopByHopHeaders(context.received.headers);
  context.received.headers.Remove("Expect");
  context.received.headers.Set("X-Request-Id", context.record.request_id);
  if (!context.key.empty()) {
    context.received.headers.Set("Idempotency-Key", context.key);
  }
  work& to_run = context.to_run;
  to_run.service = context.matched->service;
  to_run.kind = context.matched->kind;
  to_run.organisation = context.record.organisation;
  to_run.is_idempotent = context.matched->is_idempotent;
  // Each service keeps its own evidence, and a key keeps its meaning when its
  // route moves to another service.
  to_run.fingerprint = FingerprintOf({.method = context.received.method,
                                      .target = context.received.target,
                                      .body = context.received.body,
                                      .host_name = context.matched->host_name,
                                      .service = ""});
  to_run.message = context.received;
  to_run.message.headers.Remove("X-Forwarded-For-Key");
  to_run.message.headers.Add("Via", "1.1 " + host_id_);
}

proxy_response request_pipeline::Run(request_context& context) {
  if (context.key.empty()) {
    return Finish(context, parts_.attempts.Run(context.to_run));
  }
  keyed_runner::keyed_result keyed = parts_.keyed.Run(
      {context.key, context.is_forwarded, context.to_run, context.received});
  context.record.is_forwarded_away = keyed.is_from_owner;
  context.record.is_stored_response = keyed.is_stored;
  return Finish(context, std::move(keyed.result));
}

proxy_response request_pipeline::Finish(request_context& context,
                                        work_result result) {
  context.record.target = result.target;
  context.record.attempts = result.attempts;
  if (const failure_point* point =
          std::get_if<failure_point>(&result.outcome)) {
    return Fail(context, *point, result.retry_after);
  }
  proxy_response response = std::move(std::get<proxy_response>(result.outcome));
  context.record.status = response.status;
  context.record.elapsed = parts_.source.Now() - context.arrival;
  context.record.kind = outcome_kind::kAnswered;
  if (context.record.is_forwarded_away) {
    // The owner of the key has told the outcome in the response.
    context.record.kind = OutcomeKindOf(response);
    context.record.reason = "told-by-key-owner";
  } else {
    response.headers.Set("X-Outcome", OutcomeKindName(outcome_kind::kAnswered));
    response.headers.Set("X-Served-By", host_id_);
  }
  parts_.accounting.Add(context.record);
  return response;
}

proxy_response request_pipeline::Fail(request_context& context,
                                      failure_point point,
                                      std::chrono::milliseconds retry_after) {
  const outcome failed = OutcomeOf(point);
  context.record.kind = failed.kind;
  context.record.reason = failed.reason;
  context.record.status = failed.status;
  context.record.elapsed = parts_.source.Now() - context.arrival;
  parts_.accounting.Add(context.record);
  proxy_response response = MakeFailureResponse(point, retry_after);
  response.headers.Set("X-Served-By", host_id_);
  return response;
}

proxy_response request_pipeline::Discover(const proxy_request& request,
                                          const request_target& target) {
  if (request.method != "GET" && request.method != "HEAD") {
    return Reject(failure_point::kMethodNotSupported);
  }
  constexpr int kOk = 200;
  const result<nlohmann::json> answer =
      parts_.discovery(target.path, ParseQuery(target.query));
  if (IsOk(answer)) {
    return MakeJsonResponse(kOk, ValueOf(answer));
  }
  return MakeJsonResponse(StatusOf(ErrorOf(answer).code),
                          {{"error", ErrorOf(answer).message}});
}

}  // namespace bulrushshore

#include "libraries/caller/caller.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kKeyPrefixTimeout(1);
// Hosts are given a shorter deadline than the transport, so that a host that
// works answers at the deadline and only a silent one lets the transport's
// time run out.
constexpr std::chrono::milliseconds kReplyMargin(50);
constexpr int kOk = 200;

// Reasons that every later attempt with the same key would be given as well
// (docs/outcomes.md).
bool IsLastingReason(std::string_view reason) {
  return reason == "key-expired" || reason == "key-outcome-unknown" ||
         reason == "key-response-not-kept";
}

// Returns the host id in a key of the form bk1.<host id>..., or nothing.
std::string_view HostOfKey(std::string_view key) {
  constexpr std::string_view kFormat = "bk1.";
  if (key.substr(0, kFormat.size()) != kFormat) {
    return {};
  }
  const std::string_view rest = key.substr(kFormat.size());
  return rest.substr(0, rest.find('.'));
}

}  // namespace

struct caller::call_state {
  const call_request& request;
  call_observer* observer;
  time_point deadline;
  std::vector<discovered_host> hosts{};
  time_point key_prefixes_read_at{};
  std::string caller_part{};
  std::size_t next_host = 0;
  std::uint32_t tries = 0;
  std::uint32_t connect_failures = 0;
  // A host may have received a byte that carries the key.
  bool is_key_bound = false;
  bool can_have_run = false;
  bool is_final = false;
  std::optional<duration> retry_after{};
  call_result outcome{};
};

caller::caller(const caller_options& options,
               host_resolver& resolver,
               caller_transport& transport,
               retry_timer& timer,
               const clock& time,
               random_source& random)
    : options_(options),
      resolver_(resolver),
      transport_(transport),
      timer_(timer),
      clock_(time),
      keys_(random),
      random_(random.Next()) {}

call_result caller::Call(const call_request& request, call_observer* observer) {
  call_state state{request, observer, clock_.Now() + request.timeout};
  const result<shared_host_list> resolved = resolver_.Resolve(request.service);
  if (!IsOk(resolved)) {
    const bool is_unknown = ErrorOf(resolved).code == error_code::kNotFound;
    state.outcome.outcome =
        is_unknown ? call_outcome::kRefused : call_outcome::kNotRun;
    state.outcome.reason = ErrorOf(resolved).message;
    return state.outcome;
  }
  const host_list& list = *ValueOf(resolved);
  state.hosts = OrderHosts(list, request.key);
  state.key_prefixes_read_at = list.fetched_at;
  state.outcome.key = request.key;
  state.is_key_bound = !request.key.empty();
  state.caller_part = keys_.MakeCallerPart();
  RunAttempts(state);
  if (!state.is_final) {
    state.outcome.outcome =
        state.can_have_run ? call_outcome::kUnknown : call_outcome::kNotRun;
  }
  return state.outcome;
}

// Orders the hosts as the list does, but starts with the owner of `key`, or at
// a random one of the first `spread`, and ends with the avoided hosts.
std::vector<discovered_host> caller::OrderHosts(const host_list& list,
                                                std::string_view key) {
  std::vector<discovered_host> hosts = list.hosts;
  const std::size_t spread =
      std::min<std::size_t>(std::max(options_.spread, 1U), hosts.size());
  const auto first = hosts.begin();
  std::rotate(first, first + static_cast<std::ptrdiff_t>(DrawUniform(spread)),
              first + static_cast<std::ptrdiff_t>(spread));
  std::stable_partition(
      hosts.begin(), hosts.end(),
      [this](const discovered_host& host) { return !IsAvoided(host.address); });
  const std::string_view owner = HostOfKey(key);
  std::stable_partition(
      hosts.begin(), hosts.end(),
      [owner](const discovered_host& host) { return host.id == owner; });
  return hosts;
}

void caller::RunAttempts(call_state& state) {
  const std::size_t max_connect_failures = 2 * state.hosts.size();
  while (!state.is_final && state.tries < options_.max_attempts &&
         state.connect_failures < max_connect_failures &&
         clock_.Now() < state.deadline) {
    const discovered_host host =
        state.hosts[state.next_host % state.hosts.size()];
    if (state.request.repeat == repeat_policy::kKeyed && !state.is_key_bound &&
        !PrepareKey(state, host)) {
      NoteConnectFailure(state, host);
    } else {
      SendAttempt(state, host);
    }
    if (!state.is_final && !WaitBeforeRetry(state)) {
      return;
    }
  }
}

// Makes the key from the prefix of `host`. Returns false if the prefix cannot
// be learnt.
bool caller::PrepareKey(call_state& state, const discovered_host& host) {
  const std::optional<std::string> prefix = KeyPrefixOf(state, host);
  if (!prefix) {
    return false;
  }
  state.outcome.key = idempotency_key_maker::Join(*prefix, state.caller_part);
  if (state.observer != nullptr) {
    state.observer->OnKey(state.request, state.outcome.key);
  }
  return true;
}

std::optional<std::string> caller::KeyPrefixOf(const call_state& state,
                                               const discovered_host& host) {
  const bool is_recent =
      clock_.Now() - state.key_prefixes_read_at < options_.max_key_prefix_age;
  if (is_recent && IsKeyPrefix(host.key_prefix)) {
    return host.key_prefix;
  }
  transport_request request;
  request.path = "/_bulrush/key";
  const transport_result exchanged = transport_.Exchange(
      host.address, request,
      std::min<duration>(kKeyPrefixTimeout, state.deadline - clock_.Now()));
  const transport_response* const response =
      std::get_if<transport_response>(&exchanged);
  if (response == nullptr || response->status != kOk) {
    return std::nullopt;
  }
  const nlohmann::json body =
      nlohmann::json::parse(response->body, nullptr, false);
  if (!body.is_object() || !body.contains("key_prefix") ||
      !body["key_prefix"].is_string()) {
    return std::nullopt;
  }
  const std::string prefix = body["key_prefix"].get<std::string>();
  return IsKeyPrefix(prefix) ? std::optional<std::string>(prefix)
                             : std::nullopt;
}

void caller::SendAttempt(call_state& state, const discovered_host& host) {
  ++state.outcome.attempts;
  call_attempt attempt;
  attempt.number = state.outcome.attempts;
  attempt.request_id =
      state.request.request_id + "." + std::to_string(attempt.number);
  attempt.host = host.id;
  attempt.address = host.address;
  attempt.key = state.outcome.key;
  if (state.observer != nullptr) {
    state.observer->OnAttemptStart(state.request, attempt);
  }
  transport_result exchanged =
      transport_.Exchange(host.address, BuildRequest(state, attempt),
                          state.deadline - clock_.Now());
  if (transport_response* const response =
          std::get_if<transport_response>(&exchanged)) {
    attempt.outcome = ClassifyResponse(*response);
    attempt.status = response->status;
    attempt.reason = std::string(
        FindHeader(response->headers, "X-Outcome-Reason").value_or(""));
    state.retry_after = RetryAfterOf(*response);
    state.outcome.response = std::move(*response);
    state.outcome.host = host.id;
  } else {
    attempt.failure = *std::get_if<transport_failure>(&exchanged);
    attempt.outcome = ClassifyFailure(*attempt.failure);
    attempt.reason = TransportFailureName(*attempt.failure);
    state.retry_after.reset();
  }
  if (state.observer != nullptr) {
    state.observer->OnAttemptEnd(state.request, attempt);
  }
  if (attempt.failure == transport_failure::kConnectFailed) {
    NoteConnectFailure(state, host);
    return;
  }
  if (attempt.failure == transport_failure::kTimedOut) {
    Avoid(host);
  }
  NoteEnd(state, attempt);
}

void caller::NoteConnectFailure(call_state& state,
                                const discovered_host& host) {
  ++state.connect_failures;
  ++state.next_host;
  state.outcome.reason =
      TransportFailureName(transport_failure::kConnectFailed);
  Avoid(host);
}

void caller::Avoid(const discovered_host& host) {
  const std::lock_guard<std::mutex> lock(mutex_);
  avoided_until_[FormatEndpoint(host.address)] =
      clock_.Now() + options_.avoid_time;
}

// Decides whether the attempt settles the call, and which host comes next.
void caller::NoteEnd(call_state& state, const call_attempt& attempt) {
  ++state.tries;
  state.is_key_bound = state.request.repeat == repeat_policy::kKeyed;
  state.outcome.reason = attempt.reason;
  const bool is_settled = attempt.outcome == call_outcome::kAnswered ||
                          attempt.outcome == call_outcome::kRefused;
  if (is_settled) {
    // A refused retry does not tell what an earlier attempt did.
    const bool is_doubtful =
        attempt.outcome == call_outcome::kRefused && state.can_have_run;
    state.is_final = true;
    state.outcome.outcome =
        is_doubtful ? call_outcome::kUnknown : attempt.outcome;
    return;
  }
  if (attempt.outcome == call_outcome::kUnknown) {
    state.can_have_run = true;
    state.is_final = state.request.repeat == repeat_policy::kOnce ||
                     IsLastingReason(attempt.reason);
    state.outcome.outcome = call_outcome::kUnknown;
  }
  // The owner of the key answers for it without a detour over another host.
  const bool stays_with_owner = state.is_key_bound &&
                                attempt.outcome == call_outcome::kNotRun &&
                                attempt.reason != "shutting-down";
  if (!stays_with_owner) {
    ++state.next_host;
  }
}

// Returns false if the deadline does not leave time for another attempt.
bool caller::WaitBeforeRetry(call_state& state) {
  const bool has_untried_host =
      state.tries == 0 && state.connect_failures < state.hosts.size();
  if (has_untried_host) {
    return true;
  }
  constexpr std::uint32_t kMaxDoublings = 10;
  const std::uint32_t doublings =
      std::min(state.tries + state.connect_failures - 1, kMaxDoublings);
  const duration backoff =
      std::min(options_.min_backoff * (std::int64_t{1} << doublings),
               options_.max_backoff);
  const duration base = std::max(backoff, state.retry_after.value_or(backoff));
  // Between one and one and a half times the base, so that callers that
  // failed together do not come back together.
  const std::uint64_t half =
      static_cast<std::uint64_t>(std::max<duration::rep>(base.count() / 2, 1));
  const duration delay =
      base + duration(static_cast<duration::rep>(DrawUniform(half)));
  if (clock_.Now() + delay >= state.deadline) {
    return false;
  }
  timer_.Wait(delay);
  return true;
}

transport_request caller::BuildRequest(const call_state& state,
                                       const call_attempt& attempt) const {
  transport_request request = state.request.http;
  const std::chrono::milliseconds left =
      ToMilliseconds(state.deadline - clock_.Now());
  const std::chrono::milliseconds told =
      left - std::min(kReplyMargin, left / 5);
  const std::int64_t left_ms = std::max<std::int64_t>(told.count(), 1);
  request.headers.emplace_back("X-Request-Id", attempt.request_id);
  request.headers.emplace_back("X-Request-Deadline-Ms",
                               std::to_string(left_ms));
  if (!state.request.organisation.empty()) {
    request.headers.emplace_back("X-Organisation", state.request.organisation);
  }
  if (!attempt.key.empty()) {
    request.headers.emplace_back("Idempotency-Key", attempt.key);
  }
  return request;
}

bool caller::IsAvoided(const endpoint& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = avoided_until_.find(FormatEndpoint(address));
  return found != avoided_until_.end() && clock_.Now() < found->second;
}

std::uint64_t caller::DrawUniform(std::uint64_t bound) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return random_.Uniform(bound);
}

}  // namespace bulrushshore

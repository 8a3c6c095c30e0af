#include "tests/platform/soak/soak_ledger.h"

#include <algorithm>
#include <variant>

#include "platform/names.h"

namespace bulrushshore {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// A printed violation needs its kind and an example, not all of them.
constexpr std::size_t kMostViolations = 50;

bool PromisesNotRun(int status) {
  return status == kTooManyRequests || status == kServiceUnavailable ||
         status == kRequestTimeout || status == kMisdirected;
}

std::string Describe(const soak_request& request) {
  return request.id + " at host " + std::to_string(request.host) + " start " +
         std::to_string(request.host_start);
}

}  // namespace

void soak_ledger::OnRun(const std::string& id,
                        std::string_view target,
                        std::string_view body,
                        time_point now) {
  runs_[id].push_back({std::string(target), std::string(body), now});
  ++counts_["runs"];
}

void soak_ledger::OnEnd(const soak_request& request,
                        const exchange_outcome& outcome,
                        const soak_moment& moment) {
  if (!request.is_idempotent) {
    unrepeatable_.push_back(request.id);
  }
  const received_response* received = std::get_if<received_response>(&outcome);
  if (!received) {
    const exchange_failure failure = std::get<exchange_failure>(outcome);
    ++counts_[std::string(ExchangeFailureName(failure))];
    if (failure == exchange_failure::kMalformedResponse ||
        failure == exchange_failure::kTruncatedResponse) {
      Violate("whole", Describe(request) + " got " +
                           std::string(ExchangeFailureName(failure)));
    }
    CheckCut(request, moment);
    return;
  }
  const int status = received->response.status;
  ++counts_["status " + std::to_string(status)];
  if (status == kOk) {
    CheckSuccess(request, *received);
  } else if (PromisesNotRun(status)) {
    promised_not_run_.push_back(request.id);
  } else if (status == kNotFound || status == kBadRequest) {
    CheckDenial(request, moment);
  }
}

void soak_ledger::OnGivenUp(const soak_request& request) {
  ++counts_["given up"];
  if (!request.is_idempotent) {
    unrepeatable_.push_back(request.id);
  }
}

void soak_ledger::CheckSuccess(const soak_request& request,
                               const received_response& received) {
  const http_headers& headers = received.response.headers;
  const std::vector<run>& runs = runs_[request.id];
  const bool is_whole =
      std::any_of(runs.begin(), runs.end(), [&received](const run& entry) {
        return entry.body == received.response.body;
      });
  if (!headers.Find(platform_names::kSignatureHeader) ||
      headers.Find(platform_names::kAttemptIdHeader) != request.id ||
      !is_whole) {
    Violate("whole", Describe(request) + " got another answer");
  }
  std::uint64_t& shown = shown_[{request.host, request.host_start}];
  shown = std::max(shown, request.route_version);
}

void soak_ledger::CheckDenial(const soak_request& request,
                              const soak_moment& moment) {
  const std::uint64_t shown = shown_[{request.host, request.host_start}];
  if (request.route_version <= std::max<std::uint64_t>(shown, 1)) {
    Violate("configuration went back",
            Describe(request) + " route of version " +
                std::to_string(request.route_version));
  } else if (moment.is_route_in_force) {
    Violate("configuration late", Describe(request) + " route of version " +
                                      std::to_string(request.route_version));
  }
}

void soak_ledger::CheckCut(const soak_request& request,
                           const soak_moment& moment) {
  if (moment.is_host_undisturbed && runs_.contains(request.id)) {
    Violate("lost", Describe(request) + " was passed on and cut");
  }
}

void soak_ledger::CheckAtEnd() {
  for (const std::string& id : unrepeatable_) {
    if (runs_.contains(id) && runs_[id].size() > 1) {
      Violate("at most once",
              id + " ran " + std::to_string(runs_[id].size()) + " times");
    }
  }
  for (const std::string& id : promised_not_run_) {
    if (runs_.contains(id)) {
      Violate("not run", id + " ran at " + runs_[id].front().target);
    }
  }
}

void soak_ledger::Violate(std::string_view rule, const std::string& detail) {
  ++counts_["violations"];
  if (violations_.size() < kMostViolations) {
    violations_.push_back(std::string(rule) + ": " + detail);
  }
}

std::uint64_t soak_ledger::Count(const std::string& name) const {
  const auto found = counts_.find(name);
  return found == counts_.end() ? 0 : found->second;
}

}  // namespace bulrushshore

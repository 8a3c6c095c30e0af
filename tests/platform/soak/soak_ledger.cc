#include "tests/platform/soak/soak_ledger.h"

#include <algorithm>
#include <optional>
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

// The platform's limit on repeats in a window, and on how often a request
// reaches targets after it has crashed three of them.
constexpr std::chrono::seconds kRetryWindow{10};
constexpr double kRetryRatio = 0.2;
constexpr double kRetryAllowance = 77.0;
constexpr std::size_t kCrashedTargets = 3;
constexpr std::size_t kLateCrashes = 3;
constexpr std::chrono::seconds kStableWindow{3};

std::size_t CountBetween(const std::vector<time_point>& times,
                         time_point from,
                         time_point until) {
  return static_cast<std::size_t>(
      std::upper_bound(times.begin(), times.end(), until) -
      std::upper_bound(times.begin(), times.end(), from));
}

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

void soak_ledger::OnArrival(const std::string& service,
                            const std::string& id,
                            time_point now) {
  service_load& load = loads_[service];
  if (!load.arrived.insert(id).second) {
    load.repeats.push_back(now);
    ++counts_["repeats"];
  }
}

void soak_ledger::OnRequest(const std::string& service, time_point now) {
  loads_[service].requests.push_back(now);
}

void soak_ledger::OnCrashingRequest(const std::string& id,
                                    bool is_host_in_touch) {
  if (is_host_in_touch) {
    crashing_in_touch_.insert(id);
  }
}

void soak_ledger::OnCrash(const std::string& id,
                          std::string_view target,
                          time_point now) {
  crashes_.push_back({id, std::string(target), now});
  ++counts_["crashes"];
}

// The requests of a window are those of the window, the one before it or the
// one half a window before it, whichever has most.
void soak_ledger::CheckRepeats() {
  for (const std::map<std::string, service_load>::value_type& entry : loads_) {
    const service_load& load = entry.second;
    for (const time_point end : load.repeats) {
      std::size_t requests = 0;
      for (const int halves : {0, 1, 2}) {
        const time_point until = end - halves * kRetryWindow / 2;
        requests = std::max(
            requests, CountBetween(load.requests, until - kRetryWindow, until));
      }
      const std::size_t repeats =
          CountBetween(load.repeats, end - kRetryWindow, end);
      if (static_cast<double>(repeats) >
          kRetryRatio * static_cast<double>(requests) + kRetryAllowance) {
        Violate("budget", std::to_string(repeats) + " repeats for " +
                              std::to_string(requests) + " requests at " +
                              entry.first);
        break;
      }
    }
  }
}

void soak_ledger::CheckCrashes() {
  std::set<std::string> targets;
  std::optional<time_point> third;
  std::size_t late = 0;
  for (const crash& entry : crashes_) {
    if (third && entry.at > *third + kStableWindow &&
        crashing_in_touch_.contains(entry.id)) {
      ++late;
    }
    targets.insert(entry.target);
    if (!third && targets.size() >= kCrashedTargets) {
      third = entry.at;
    }
  }
  if (late > kLateCrashes) {
    Violate("budget", std::to_string(late) +
                          " late arrivals of a request that crashes targets");
  }
}

void soak_ledger::CheckAtEnd() {
  CheckRepeats();
  CheckCrashes();
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

#include "utilities/caller_tool/work_mix.h"

#include <cassert>
#include <cmath>
#include <cstdlib>
#include <sstream>

namespace bulrushshore {
namespace {

constexpr std::size_t kRequiredFields = 5;

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream{std::string(text)};
  std::string part;
  while (std::getline(stream, part, separator)) {
    parts.push_back(part);
  }
  return parts;
}

std::optional<repeat_policy> ParseRepeatPolicy(std::string_view name) {
  for (const repeat_policy policy :
       {repeat_policy::kIdempotent, repeat_policy::kKeyed,
        repeat_policy::kOnce}) {
    if (RepeatPolicyName(policy) == name) {
      return policy;
    }
  }
  return std::nullopt;
}

result<work_kind> ParseWorkKind(const std::string& entry) {
  const error malformed{
      error_code::kInvalidArgument,
      "expected SERVICE:KIND:PATH:WEIGHT:REPEAT[:WORK_MS], got \"" + entry +
          "\""};
  const std::vector<std::string> fields = Split(entry, ':');
  if (fields.size() < kRequiredFields || fields.size() > kRequiredFields + 1) {
    return malformed;
  }
  work_kind kind{fields[0], fields[1], fields[2], 0, {}, std::nullopt};
  kind.weight = std::strtoull(fields[3].c_str(), nullptr, 10);
  const std::optional<repeat_policy> repeat = ParseRepeatPolicy(fields[4]);
  if (kind.weight == 0 || !repeat || kind.path.empty() ||
      kind.path.front() != '/') {
    return malformed;
  }
  kind.repeat = *repeat;
  if (fields.size() > kRequiredFields) {
    kind.work_ms = std::strtod(fields[5].c_str(), nullptr);
  }
  return kind;
}

const work_kind& DrawKind(const std::vector<work_kind>& kinds,
                          std::uint64_t total_weight,
                          random_source& random) {
  std::uint64_t drawn = random.Uniform(total_weight);
  for (const work_kind& kind : kinds) {
    if (drawn < kind.weight) {
      return kind;
    }
    drawn -= kind.weight;
  }
  return kinds.back();
}

}  // namespace

std::string_view RepeatPolicyName(repeat_policy policy) {
  switch (policy) {
    case repeat_policy::kIdempotent:
      return "idempotent";
    case repeat_policy::kKeyed:
      return "keyed";
    case repeat_policy::kOnce:
      return "once";
  }
  return "once";
}

result<std::vector<work_kind>> ParseWorkMix(std::string_view text) {
  std::vector<work_kind> kinds;
  for (const std::string& entry : Split(text, ',')) {
    const result<work_kind> kind = ParseWorkKind(entry);
    if (!IsOk(kind)) {
      return ErrorOf(kind);
    }
    kinds.push_back(ValueOf(kind));
  }
  if (kinds.empty()) {
    return error{error_code::kInvalidArgument, "the work mix is empty"};
  }
  return kinds;
}

std::vector<planned_request> PlanArrivals(const arrival_plan& plan,
                                          const std::vector<work_kind>& kinds,
                                          random_source& random) {
  assert(!kinds.empty() && plan.requests_per_second > 0.0);
  std::uint64_t total_weight = 0;
  for (const work_kind& kind : kinds) {
    total_weight += kind.weight;
  }
  std::vector<planned_request> requests;
  const std::chrono::duration<double> length = plan.length;
  double arrival = 0.0;  // In units of the mean gap, so that sums are exact.
  const double end = length.count() * plan.requests_per_second;
  while (arrival < end) {
    planned_request request;
    request.arrival = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(arrival / plan.requests_per_second));
    request.kind = &DrawKind(kinds, total_weight, random);
    request.organisation = random.Uniform(plan.organisations);
    requests.push_back(request);
    arrival += plan.is_poisson ? -std::log(1.0 - random.UniformReal()) : 1.0;
  }
  return requests;
}

call_request BuildCallRequest(const work_kind& kind,
                              std::string_view request_id) {
  call_request request;
  request.service = kind.service;
  request.repeat = kind.repeat;
  request.request_id = std::string(request_id);
  const bool is_idempotent = kind.repeat == repeat_policy::kIdempotent;
  request.http.method = is_idempotent ? "GET" : "POST";
  request.http.path = kind.path;
  request.http.headers.emplace_back("X-Work-Kind", kind.kind);
  if (kind.work_ms) {
    request.http.headers.emplace_back("X-Work-Ms",
                                      std::to_string(*kind.work_ms));
  }
  if (!is_idempotent) {
    request.http.headers.emplace_back("Content-Type", "text/plain");
    request.http.body = request.request_id;
  }
  return request;
}

}  // namespace bulrushshore

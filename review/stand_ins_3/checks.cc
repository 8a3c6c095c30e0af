#include "review/stand_ins_3/checks.h"

#include <algorithm>
#include <chrono>

namespace bulrushshore::review {
namespace {

// "config-apply-ms", and some time for the measurement.
constexpr std::chrono::milliseconds kApplyTime{2050};

bool IsAllowed(const std::vector<acknowledged_service>& history,
               const std::string& service,
               time_point sent) {
  // Services of all versions from the newest one that must be in force.
  std::size_t oldest = 0;
  for (std::size_t index = 0; index < history.size(); ++index) {
    if (history[index].acknowledged + kApplyTime <= sent) {
      oldest = index;
    }
  }
  return std::any_of(history.begin() + static_cast<std::ptrdiff_t>(oldest),
                     history.end(),
                     [&service](const acknowledged_service& version) {
                       return version.service == service;
                     });
}

}  // namespace

int CountOldRuns(fleet& played,
                 const std::vector<acknowledged_service>& history,
                 time_point from) {
  int old_runs = 0;
  for (const std::map<std::string, client_request>::value_type& entry :
       played.record().requests()) {
    const client_request& request = entry.second;
    if (request.sent < from || !request.path.starts_with("/pay/") ||
        !played.hosts()[request.host]->WasInTouch(request.sent)) {
      continue;
    }
    for (const request_run& run : request.runs) {
      if (IsAllowed(history, run.service, request.sent)) {
        continue;
      }
      ++old_runs;
      played.record().Note(
          "BROKEN: " + request.id + ", sent to host " +
          std::to_string(request.host) + " at " +
          std::to_string(played.record().MillisecondsOf(request.sent)) +
          " ms, was run by " + run.service);
    }
  }
  return old_runs;
}

}  // namespace bulrushshore::review

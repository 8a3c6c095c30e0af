#include <algorithm>
#include <chrono>

#include "review/stand_ins_3/scenarios.h"

namespace bulrushshore::review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWork{400};
constexpr milliseconds kPause{60};
constexpr int kClients = 12;
constexpr int kRounds = 8;
constexpr int kUpstreams = 4;
// Age of the data that reads marked as possibly stale return.
constexpr milliseconds kStaleness{4000};
// "drain-ms", and some time for the measurement.
constexpr milliseconds kDrainTime{2050};
// An upstream that leaves serves this much longer.
constexpr milliseconds kServedLonger{1500};

std::string UpstreamName(int number) {
  return "payments-" + std::to_string(number);
}

// Counts the requests that reached the upstream too late.
int CountLateRuns(fleet& played,
                  const std::string& upstream_id,
                  time_point acknowledged) {
  int late = 0;
  int lost = 0;
  for (const std::map<std::string, client_request>::value_type& entry :
       played.record().requests()) {
    const client_request& request = entry.second;
    for (const request_run& run : request.runs) {
      if (run.upstream != upstream_id ||
          run.arrived <= acknowledged + kDrainTime ||
          !played.hosts()[request.host]->WasInTouch(request.sent)) {
        continue;
      }
      ++late;
      lost += request.status / 100 == 2 ? 0 : 1;
      played.record().Note(
          "BROKEN: " + request.id + " reached " + upstream_id + " at " +
          std::to_string(played.record().MillisecondsOf(run.arrived)) +
          " ms, through host " + std::to_string(request.host) +
          "; the client's status is " + std::to_string(request.status));
    }
  }
  if (late > 0) {
    played.record().Note(std::to_string(late) + " late requests, " +
                         std::to_string(lost) + " of them without success");
  }
  return late;
}

}  // namespace

int PlayCutWatch(fleet& played) {
  std::vector<upstream*> present;
  int made = 0;
  for (; made < kUpstreams; ++made) {
    present.push_back(
        &played.AddUpstream(UpstreamName(made), "payments-a", kWork));
  }
  played.WriteConfiguration("payments-a");
  played.Start();
  played.store().SetWatchStaleness(kStaleness);
  for (int number = 0; number < kClients; ++number) {
    played.AddClient({.pause = kPause, .keeps_connection = true});
  }
  played.Run(milliseconds(5000));
  int broken = 0;
  for (int round = 0; round < kRounds; ++round) {
    if (played.options().has_trouble) {
      const std::size_t cut = played.relay().CutWaitingStaleWatches();
      played.record().Note("the store cuts off " + std::to_string(cut) +
                           " waiting watches");
    }
    played.Run(milliseconds(200));
    upstream& leaving = *present.front();
    present.erase(present.begin());
    leaving.Drain();
    const time_point acknowledged = played.Now();
    played.Run(kDrainTime + kServedLonger);
    leaving.End();
    played.Run(milliseconds(1000));
    broken += CountLateRuns(played, leaving.id(), acknowledged);
    present.push_back(
        &played.AddUpstream(UpstreamName(made++), "payments-a", kWork));
    // Until then all hosts know the new one.
    played.Run(kStaleness + milliseconds(500));
  }
  return broken;
}

}  // namespace bulrushshore::review

#include <csignal>

#include "review/stand_ins_3/checks.h"
#include "review/stand_ins_3/scenarios.h"

namespace bulrushshore::review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWork{60};
constexpr milliseconds kPause{60};
constexpr int kClients = 4;
// Age of the data that reads marked as possibly stale return.
constexpr milliseconds kStaleness{4000};

// Two services that can run payments.
const char* const kServices[] = {"payments-a", "payments-b"};

void AddServices(fleet& played) {
  for (const char* service : kServices) {
    for (int number = 0; number < 3; ++number) {
      played.AddUpstream(std::string(service) + "-" + std::to_string(number),
                         service, kWork);
    }
  }
}

// Clients that ask where to connect, and for each host one that is sent
// directly to it.
void AddClients(fleet& played) {
  for (int number = 0; number < kClients; ++number) {
    played.AddClient({.pause = kPause});
  }
  for (std::size_t host = 0; host < played.hosts().size(); ++host) {
    played.AddClient({.pause = kPause, .only_host = host});
  }
}

void ChangeService(fleet& played, std::vector<acknowledged_service>& history) {
  const std::string service = kServices[history.size() % 2];
  played.WriteConfiguration(service);
  history.push_back({service, played.Now()});
}

}  // namespace

int PlayChangeAfterStart(fleet& played) {
  std::vector<acknowledged_service> history;
  ChangeService(played, history);
  AddServices(played);
  played.Start();
  played.store().SetWatchStaleness(kStaleness);
  AddClients(played);
  played.Run(milliseconds(2000));
  int broken = 0;
  for (std::size_t host = 0; host < played.hosts().size(); ++host) {
    const time_point from = played.Now();
    if (played.options().has_trouble) {
      played.Restart(host, SIGTERM);
    } else {
      played.Run(milliseconds(4000));
    }
    played.Run(milliseconds(700));
    ChangeService(played, history);
    played.Run(milliseconds(8000));
    broken += CountOldRuns(played, history, from);
  }
  return broken;
}

int PlayCutWatchOfConfiguration(fleet& played) {
  constexpr int kRounds = 8;
  std::vector<acknowledged_service> history;
  ChangeService(played, history);
  AddServices(played);
  played.Start();
  played.store().SetWatchStaleness(kStaleness);
  AddClients(played);
  played.Run(milliseconds(5000));
  int broken = 0;
  for (int round = 0; round < kRounds; ++round) {
    const time_point from = played.Now();
    if (played.options().has_trouble) {
      const std::size_t cut = played.relay().CutWaitingStaleWatches();
      played.record().Note("the store cuts off " + std::to_string(cut) +
                           " waiting watches");
    }
    played.Run(milliseconds(200));
    ChangeService(played, history);
    played.Run(kStaleness + milliseconds(4000));
    broken += CountOldRuns(played, history, from);
  }
  return broken;
}

}  // namespace bulrushshore::review

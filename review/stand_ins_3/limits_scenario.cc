#include <csignal>

#include "review/stand_ins_3/scenarios.h"

namespace bulrushshore::review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWork{60};
constexpr milliseconds kPause{400};
constexpr int kClients = 24;
// Both are far below "max-body-bytes" of the configuration, 67,108,864.
constexpr std::size_t kSmallBody = 1200;
constexpr std::size_t kLargeBody = 2'000'000;
// How long the store turns all calls away.
constexpr milliseconds kOutage{4500};
constexpr milliseconds kRestartDelay{500};
constexpr int kPayloadTooLarge = 413;
// The rule allows so many, and one in 500 of all requests.
constexpr int kAllowed = 5;
constexpr int kAllowedShare = 500;

int CountDenied(fleet& played) {
  int denied = 0;
  for (const std::map<std::string, client_request>::value_type& entry :
       played.record().requests()) {
    const client_request& request = entry.second;
    if (request.status == kPayloadTooLarge &&
        played.hosts()[request.host]->WasInTouch(request.sent)) {
      ++denied;
      played.record().Note("BROKEN: " + request.id + " at host " +
                           std::to_string(request.host) + " got 413");
    }
  }
  return denied;
}

// Ends all hosts at once and starts them again while the store is down.
void KillAllDuringOutage(fleet& played) {
  played.record().Note("the store turns all calls away, all hosts are killed");
  played.store().SetOutage(true);
  for (const std::unique_ptr<edge_process>& host : played.hosts()) {
    host->Signal(SIGKILL);
  }
  played.Run(kRestartDelay);
  for (const std::unique_ptr<edge_process>& host : played.hosts()) {
    host->Start(false);
  }
  played.record().Note("all hosts start");
}

}  // namespace

int PlayLimitsAfterStart(fleet& played) {
  for (int number = 0; number < 3; ++number) {
    played.AddUpstream("uploads-" + std::to_string(number), "uploads", kWork);
  }
  played.WriteConfiguration("payments-a");
  played.Start();
  std::vector<client*> clients;
  clients.reserve(kClients);
  for (int number = 0; number < kClients; ++number) {
    clients.push_back(&played.AddClient({.path_prefix = "/upload/",
                                         .body_bytes = kSmallBody,
                                         .pause = kPause,
                                         .keeps_connection = true}));
    clients.back()->SetHeld(true);
  }
  played.Run(milliseconds(3000));
  if (played.options().has_trouble) {
    KillAllDuringOutage(played);
  }
  played.Run(milliseconds(500));
  for (client* sender : clients) {
    sender->SetHeld(false);
  }
  played.Run(kOutage - milliseconds(1000));
  played.store().SetOutage(false);
  played.record().Note("the store is up");
  // Until then the core is stable and all hosts are in touch again.
  played.Run(milliseconds(5000));
  for (client* sender : clients) {
    sender->SetBodyBytes(kLargeBody);
  }
  played.Run(milliseconds(6000));
  const int denied = CountDenied(played);
  const int allowed =
      kAllowed +
      static_cast<int>(played.record().requests().size()) / kAllowedShare;
  played.record().Note(std::to_string(denied) + " proper requests denied, " +
                       std::to_string(allowed) + " allowed");
  return denied > allowed ? denied : 0;
}

}  // namespace bulrushshore::review

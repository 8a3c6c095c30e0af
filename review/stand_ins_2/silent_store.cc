// The store is down for some seconds. When it is back, the connections that are
// open to it have gone silent; new ones work. Later an upstream leaves.

#include <atomic>
#include <mutex>
#include <thread>

#include "review/stand_ins_2/cases.h"

namespace review {
namespace {

constexpr int kHosts = 3;
constexpr int kUpstreams = 6;
constexpr int kClientsPerHost = 3;
constexpr double kStoreDownSeconds = 4.5;
// Longer than stable-window-ms.
constexpr double kCalmSeconds = 3.1;
constexpr milliseconds kDrainBound{2000};
constexpr double kServedAfterRemoval = 6.0;

struct tally {
  std::mutex mutex;
  // When each request was sent, and to which host.
  std::map<std::string, std::pair<steady::time_point, std::string>> sent;
  std::atomic<bool> is_ending{false};
};

void RunClient(const setting& shared,
               const host& asked,
               tally& seen,
               record& log) {
  stream connection;
  constexpr milliseconds kConnectLimit{1000};
  constexpr milliseconds kLimit{6000};
  while (!seen.is_ending) {
    if (!connection.IsOpen() &&
        !connection.Connect(asked.front(), kConnectLimit)) {
      continue;
    }
    const std::string id = NewId();
    {
      const std::lock_guard<std::mutex> lock(seen.mutex);
      seen.sent[id] = {steady::now(), asked.name()};
    }
    http_text answer;
    if (!connection.Write(RequestText(shared, "POST", "/puka111/2f", id,
                                      static_cast<int>(kLimit.count()), "x")) ||
        connection.Read(answer, steady::now() + kLimit) !=
            read_result::kMessage) {
      connection.Close();
    }
    log.Line("request " + id + " to " + asked.name() + ": " + answer.second);
    constexpr double kPause = 0.05;
    Sleep(kPause);
  }
}

// Takes the store down and brings it back with silent connections.
void DisturbStore(store& platform,
                  const std::vector<std::unique_ptr<host>>& hosts,
                  record& log) {
  platform.SetDown(true);
  log.Line("the store is down");
  Sleep(kStoreDownSeconds);
  for (const std::unique_ptr<host>& entry : hosts) {
    entry->way().service->SilenceOpen();
  }
  platform.SetDown(false);
  log.Line("the store is back; connections that were open are silent");
}

int Judge(upstream& leaving,
          steady::time_point acknowledged,
          tally& seen,
          record& log) {
  int late = 0;
  for (const run& entry : leaving.Runs()) {
    const std::pair<steady::time_point, std::string>& origin =
        seen.sent[entry.request_id];
    if (origin.first > acknowledged + kDrainBound) {
      ++late;
      log.Line("request " + entry.request_id + " reached " + entry.upstream +
               " through " + origin.second + ", " +
               std::to_string(
                   std::chrono::duration<double>(entry.time - acknowledged)
                       .count()) +
               " s after the acknowledgement");
    }
  }
  return late;
}

}  // namespace

int RunSilentStore(const setting& shared, record& log) {
  store platform;
  const std::vector<std::unique_ptr<upstream>> upstreams =
      StartUpstreams(shared, platform, "wuno96b", kUpstreams, milliseconds(20));
  platform.Put(
      "config", "main",
      Configuration(shared, 7, {{"r-pay", "/puka111/", "unsafe", "wuno96b"}},
                    {"wuno96b"}));
  const std::vector<std::unique_ptr<host>> hosts =
      StartHosts(shared, platform, kHosts);
  tally seen;
  std::vector<std::thread> threads;
  threads.reserve(std::size_t{kHosts} * kClientsPerHost);
  for (std::size_t number = 0; number < std::size_t{kHosts} * kClientsPerHost;
       ++number) {
    threads.emplace_back(
        [&, number] { RunClient(shared, *hosts[number % kHosts], seen, log); });
  }
  Sleep(4);
  if (shared.has_trouble) {
    DisturbStore(platform, hosts, log);
  }
  Sleep(kCalmSeconds);
  upstream& leaving = *upstreams.front();
  platform.Remove("servers", leaving.id());
  const steady::time_point acknowledged = steady::now();
  log.Line("the entry of " + leaving.id() + " is removed, acknowledged");
  Sleep(kServedAfterRemoval);
  leaving.Stop();
  seen.is_ending = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const std::unique_ptr<upstream>& entry : upstreams) {
    entry->ListRuns(log);
  }
  const int late = Judge(leaving, acknowledged, seen, log);
  log.Line(std::to_string(late) + " of " + std::to_string(seen.sent.size()) +
           " requests reached the upstream later than the bound after it had "
           "left");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace review

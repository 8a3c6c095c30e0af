// The upstreams of a service are replaced one after the other. Callers ask all
// hosts meanwhile.

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "review/stand_ins_2/cases.h"

namespace review {
namespace {

constexpr int kHosts = 3;
constexpr int kUpstreams = 14;
// Half of the upstreams, one after the other.
constexpr int kReplaced = 7;
constexpr double kGapSeconds = 1.1;
// The new one starts first, the old one drains.
constexpr double kDrainAfterStart = 0.55;
constexpr milliseconds kStaleness{3000};
constexpr milliseconds kDrainBound{2000};
// An upstream that leaves serves this long after its report.
constexpr milliseconds kServedAfterReport{4000};
constexpr int kClientsPerHost = 4;

struct tally {
  std::mutex mutex;
  std::map<std::string, std::pair<steady::time_point, std::string>> sent;
  std::atomic<bool> is_ending{false};
};

struct arrival {
  upstream* started = nullptr;
  steady::time_point time;
  int reports = 0;
};

struct departure {
  upstream* leaving = nullptr;
  steady::time_point acknowledged;
  bool is_gone = false;
};

void RunClient(const setting& shared,
               const host& asked,
               tally& seen,
               record& log) {
  stream connection;
  while (!seen.is_ending) {
    const std::string id = NewId();
    http_text answer;
    constexpr milliseconds kLimit{6000};
    if (!connection.IsOpen() &&
        !connection.Connect(asked.front(), milliseconds(1000))) {
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(seen.mutex);
      seen.sent[id] = {steady::now(), asked.name()};
    }
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

// Starts a new upstream.
void StartOne(const setting& shared,
              store& platform,
              std::vector<std::unique_ptr<upstream>>& upstreams,
              std::vector<arrival>& arrivals) {
  const int number = static_cast<int>(upstreams.size());
  upstreams.push_back(std::make_unique<upstream>(
      shared, platform, "i-" + std::to_string(number), "wuno96b", 101 + number,
      milliseconds(20)));
  arrivals.push_back({upstreams.back().get(), steady::now()});
}

// An upstream writes its entry every heartbeat; it changes while the upstream
// is warming up.
void ReportWarmUps(std::vector<arrival>& arrivals) {
  constexpr milliseconds kHeartbeat{1500};
  constexpr milliseconds kWarmUp{3000};
  for (arrival& entry : arrivals) {
    if (kHeartbeat * entry.reports <= kWarmUp &&
        steady::now() >= entry.time + kHeartbeat * entry.reports) {
      entry.started->Report("ready", kWarmUp - kHeartbeat * entry.reports);
      ++entry.reports;
    }
  }
}

// Lets one of the old upstreams leave.
void DrainOne(int number,
              std::vector<std::unique_ptr<upstream>>& upstreams,
              std::vector<departure>& departures,
              record& log) {
  upstream* leaving = upstreams[static_cast<std::size_t>(number)].get();
  leaving->Report("draining");
  departures.push_back({leaving, steady::now()});
  log.Line(leaving->id() + " is draining, acknowledged");
}

void EndDepartures(store& platform, std::vector<departure>& departures) {
  for (departure& entry : departures) {
    if (!entry.is_gone &&
        steady::now() > entry.acknowledged + kServedAfterReport) {
      entry.is_gone = true;
      platform.Remove("servers", entry.leaving->id());
      entry.leaving->Stop();
    }
  }
}

// Counts the runs at upstreams that had left too long ago.
int Judge(const std::vector<departure>& departures, tally& seen, record& log) {
  int late = 0;
  for (const departure& entry : departures) {
    for (const run& candidate : entry.leaving->Runs()) {
      const std::pair<steady::time_point, std::string>& origin =
          seen.sent[candidate.request_id];
      if (origin.first > entry.acknowledged + kDrainBound) {
        ++late;
        log.Line("request " + candidate.request_id + " reached " +
                 candidate.upstream + " through " + origin.second + ", " +
                 std::to_string(std::chrono::duration<double>(
                                    candidate.time - entry.acknowledged)
                                    .count()) +
                 " s after the acknowledgement");
      }
    }
  }
  return late;
}

}  // namespace

int RunReleaseLag(const setting& shared, record& log) {
  store platform;
  std::vector<std::unique_ptr<upstream>> upstreams =
      StartUpstreams(shared, platform, "wuno96b", kUpstreams, milliseconds(20));
  platform.Put(
      "config", "main",
      Configuration(shared, 7, {{"r-pay", "/puka111/", "unsafe", "wuno96b"}},
                    {"wuno96b"}));
  const std::vector<std::unique_ptr<host>> hosts =
      StartHosts(shared, platform, kHosts);
  platform.SetStaleness(kStaleness);
  tally seen;
  std::vector<std::thread> threads;
  threads.reserve(std::size_t{kHosts} * kClientsPerHost);
  for (int number = 0; number < kHosts * kClientsPerHost; ++number) {
    threads.emplace_back([&, number] {
      RunClient(shared, *hosts[static_cast<std::size_t>(number % kHosts)], seen,
                log);
    });
  }
  Sleep(5);
  // Without the disruption one upstream leaves.
  const int replaced = shared.has_trouble ? kReplaced : 1;
  std::vector<arrival> arrivals;
  std::vector<departure> departures;
  const steady::time_point began = steady::now();
  constexpr double kWatchedSeconds = 14.0;
  while (steady::now() - began <
         std::chrono::duration<double>(kWatchedSeconds)) {
    const double elapsed =
        std::chrono::duration<double>(steady::now() - began).count();
    const int started = static_cast<int>(upstreams.size()) - kUpstreams;
    const int drained = static_cast<int>(departures.size());
    if (started < replaced && elapsed >= started * kGapSeconds) {
      StartOne(shared, platform, upstreams, arrivals);
    }
    if (drained < replaced &&
        elapsed >= drained * kGapSeconds + kDrainAfterStart) {
      DrainOne(drained, upstreams, departures, log);
    }
    ReportWarmUps(arrivals);
    EndDepartures(platform, departures);
    constexpr double kPause = 0.02;
    Sleep(kPause);
  }
  seen.is_ending = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const std::unique_ptr<upstream>& entry : upstreams) {
    entry->ListRuns(log);
  }
  const int late = Judge(departures, seen, log);
  log.Line(std::to_string(late) + " of " + std::to_string(seen.sent.size()) +
           " requests reached an upstream later than the bound after it was "
           "draining");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace review

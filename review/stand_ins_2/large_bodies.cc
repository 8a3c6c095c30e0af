// More callers than usual send large bodies at once. The platform kills a
// process that exceeds its memory, as the pages say, and starts it again.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>

#include "review/stand_ins_2/cases.h"

namespace review {
namespace {

constexpr double kMemoryMb = 195.0;
// The largest body that the configuration allows has 64 MiB.
constexpr std::size_t kBodyBytes = std::size_t{8} << 20;
// Four a second, evenly spread.
constexpr int kUsualUploaders = 12;
// 1.67 times as many, for one period of 3 s, and all at its start.
constexpr int kBurstUploaders = 20;
constexpr double kUploadPeriod = 3.0;
constexpr int kSmallClients = 20;
constexpr std::size_t kSmallBodyBytes = 4000;
constexpr int kDeadlineMs = 12'000;

// Memory of the process without the pages of its program and libraries.
double AnonymousMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  double kilobytes = 0.0;
  while (file >> word) {
    if (word == "RssAnon:") {
      file >> kilobytes;
      break;
    }
  }
  constexpr double kKilobytesPerMb = 1024.0;
  return kilobytes / kKilobytesPerMb;
}

struct tally {
  std::atomic<int> answered{0};
  std::mutex mutex;
  // Ids of requests whose kept connection ended without an answer.
  std::vector<std::string> cut;
  std::atomic<int> refused{0};
  std::atomic<bool> is_burst{false};
  std::atomic<bool> is_ending{false};
};

// Sends one unsafe request on a connection that may be kept from earlier ones.
void SendRequest(const setting& shared,
                 const address& at,
                 stream& connection,
                 const std::string& body,
                 tally& seen,
                 record& log) {
  const bool is_kept = connection.IsOpen();
  constexpr milliseconds kConnectLimit{1000};
  if (!is_kept && !connection.Connect(at, kConnectLimit)) {
    return;
  }
  const std::string id = NewId();
  http_text answer;
  if (!connection.Write(
          RequestText(shared, "POST", "/puka111/2f", id, kDeadlineMs, body))) {
    connection.Close();
    return;
  }
  const read_result got =
      connection.Read(answer, steady::now() + milliseconds(kDeadlineMs));
  if (got == read_result::kMessage) {
    ++(answer.second == "200" ? seen.answered : seen.refused);
    log.Line("request " + id + " with " + std::to_string(body.size()) +
             " bytes: " + answer.second);
    return;
  }
  if (is_kept) {
    const std::lock_guard<std::mutex> lock(seen.mutex);
    seen.cut.push_back(id);
  }
  log.Line("request " + id + " with " + std::to_string(body.size()) +
           " bytes on a " + (is_kept ? "kept" : "new") +
           " connection: closed without an answer");
  connection.Close();
}

// Sends small requests, one after the other.
void RunSmallClient(const setting& shared,
                    const address& at,
                    tally& seen,
                    record& log) {
  stream connection;
  const std::string body(kSmallBodyBytes, 'x');
  while (!seen.is_ending) {
    SendRequest(shared, at, connection, body, seen, log);
    constexpr double kPause = 0.1;
    Sleep(kPause);
  }
}

// Sends a large body each period, the usual ones one after the other.
void RunUploader(const setting& shared,
                 const address& at,
                 double first_at,
                 tally& seen,
                 record& log) {
  const std::string body(kBodyBytes, 'x');
  Sleep(first_at);
  while (!seen.is_ending) {
    const steady::time_point began = steady::now();
    if (!seen.is_burst) {
      stream connection;
      SendRequest(shared, at, connection, body, seen, log);
    }
    std::this_thread::sleep_until(
        began + std::chrono::duration_cast<steady::duration>(
                    std::chrono::duration<double>(kUploadPeriod)));
  }
}

// The platform: kills the process when it exceeds its memory, and starts it
// again after a short delay. Returns how often.
int Supervise(host& node, double seconds, double& peak, record& log) {
  int kills = 0;
  const steady::time_point until =
      steady::now() + std::chrono::duration_cast<steady::duration>(
                          std::chrono::duration<double>(seconds));
  while (steady::now() < until) {
    const double used = AnonymousMb(node.pid());
    peak = std::max(peak, used);
    if (used > kMemoryMb) {
      log.Line("the process uses " + std::to_string(used) +
               " MB and is killed by the platform");
      node.Kill();
      ++kills;
      constexpr double kRestartDelay = 0.5;
      Sleep(kRestartDelay);
      node.Start(false);
    }
    constexpr double kPause = 0.002;
    Sleep(kPause);
  }
  return kills;
}

// Counts the requests that came on a kept connection, were passed on to an
// upstream, and whose connection ended without an answer.
int CountLost(const std::vector<std::unique_ptr<upstream>>& upstreams,
              const tally& seen,
              record& log) {
  int lost = 0;
  for (const std::unique_ptr<upstream>& entry : upstreams) {
    entry->ListRuns(log);
    for (const run& candidate : entry->Runs()) {
      if (std::find(seen.cut.begin(), seen.cut.end(), candidate.request_id) !=
          seen.cut.end()) {
        ++lost;
        log.Line("lost: " + candidate.request_id + ", run by " +
                 candidate.upstream);
      }
    }
  }
  return lost;
}

// Starts the callers of the whole case.
std::vector<std::thread> StartClients(const setting& shared,
                                      const address& at,
                                      tally& seen,
                                      record& log) {
  std::vector<std::thread> threads;
  threads.reserve(kSmallClients + kUsualUploaders + kBurstUploaders);
  for (int number = 0; number < kSmallClients; ++number) {
    threads.emplace_back(
        [&shared, at, &seen, &log] { RunSmallClient(shared, at, seen, log); });
  }
  for (int number = 0; number < kUsualUploaders; ++number) {
    threads.emplace_back([&shared, at, &seen, &log, number] {
      RunUploader(shared, at, kUploadPeriod * number / kUsualUploaders, seen,
                  log);
    });
  }
  return threads;
}

}  // namespace

int RunLargeBodies(const setting& shared, record& log) {
  store platform;
  constexpr milliseconds kWork{400};
  const std::vector<std::unique_ptr<upstream>> upstreams =
      StartUpstreams(shared, platform, "wuno96b", 6, kWork);
  platform.Put(
      "config", "main",
      Configuration(shared, 7, {{"r-pay", "/puka111/", "unsafe", "wuno96b"}},
                    {"wuno96b"}));
  host node(shared, platform, "front-nl-west-a-1", "nl-west-a", 1);
  node.Start(true);
  Sleep(8);
  tally seen;
  std::vector<std::thread> threads =
      StartClients(shared, node.front(), seen, log);
  double peak = 0.0;
  constexpr double kCalmSeconds = 12.0;
  int kills = Supervise(node, kCalmSeconds, peak, log);
  log.Line("peak before: " + std::to_string(peak) + " MB, kills " +
           std::to_string(kills));
  if (shared.has_trouble) {
    seen.is_burst = true;
    log.Line("burst: " + std::to_string(kBurstUploaders) +
             " callers with large bodies come at once");
    for (int number = 0; number < kBurstUploaders; ++number) {
      threads.emplace_back([&] {
        stream connection;
        SendRequest(shared, node.front(), connection,
                    std::string(kBodyBytes, 'x'), seen, log);
      });
    }
  }
  kills += Supervise(node, kUploadPeriod, peak, log);
  seen.is_burst = false;
  kills += Supervise(node, kCalmSeconds, peak, log);
  seen.is_ending = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  const int lost = CountLost(upstreams, seen, log);
  log.Line("answered " + std::to_string(seen.answered) +
           ", passed on and closed without an answer " + std::to_string(lost) +
           ", other answers " + std::to_string(seen.refused) + ", peak " +
           std::to_string(peak) + " MB, kills " + std::to_string(kills));
  constexpr int kLostAllowed = 3;
  return lost > kLostAllowed ? kBroken : kHeld;
}

}  // namespace review

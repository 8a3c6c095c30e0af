// A request crashes each upstream that begins to run it, and comes again at any
// machine. Requests of another host name have the same method, path and body,
// go to another service and are served.

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "review/stand_ins_2/cases.h"

namespace review {
namespace {

constexpr int kUpstreams = 8;
constexpr int kHosts = 2;
constexpr double kTroubleSeconds = 30.0;
constexpr milliseconds kDownTime{2000};
constexpr milliseconds kStableWindow{3000};
constexpr milliseconds kLimit{6000};
constexpr char kCrashingHost[] = "hulo84.example";
constexpr char kSoundHost[] = "jepu9.example";
constexpr char kPath[] = "/leny950/2f";

struct tally {
  std::mutex mutex;
  // When each crashing request was sent, by its id.
  std::map<std::string, steady::time_point> crashing;
  std::atomic<int> sound_answered{0};
  std::atomic<int> unsafe_answered{0};
  std::atomic<int> unsafe_unknown{0};
  std::atomic<bool> is_ending{false};
};

// Sends a request on a new connection. Returns the status, or 0.
int SendRequest(const address& at, const std::string& text) {
  stream connection;
  http_text answer;
  constexpr milliseconds kConnectLimit{1000};
  if (!connection.Connect(at, kConnectLimit) || !connection.Write(text) ||
      connection.Read(answer, steady::now() + kLimit) !=
          read_result::kMessage) {
    return 0;
  }
  return answer.Status();
}

// The request that crashes upstreams: once a second, at one machine after the
// other.
void RunCrashing(const setting& shared,
                 const std::vector<std::unique_ptr<host>>& hosts,
                 tally& seen,
                 record& log) {
  for (std::size_t number = 0; !seen.is_ending; ++number) {
    const host& chosen = *hosts[number % hosts.size()];
    const std::string id = NewId();
    {
      const std::lock_guard<std::mutex> lock(seen.mutex);
      seen.crashing[id] = steady::now();
    }
    const int status = SendRequest(
        chosen.front(),
        RequestText(shared, "GET", kPath, id, 5000, "", kCrashingHost));
    log.Line("crashing request " + id + " to " + chosen.name() + ": " +
             std::to_string(status));
    Sleep(1);
  }
}

void RunOthers(const setting& shared,
               const address& at,
               tally& seen,
               record& log) {
  while (!seen.is_ending) {
    const std::string sound_id = NewId();
    const std::string paid_id = NewId();
    const int status = SendRequest(
        at, RequestText(shared, "GET", kPath, sound_id, 5000, "", kSoundHost));
    seen.sound_answered += status == 200 ? 1 : 0;
    const int paid = SendRequest(
        at, RequestText(shared, "POST", "/puka111/2f", paid_id, 5000, "x"));
    seen.unsafe_answered += paid == 200 ? 1 : 0;
    log.Line("request " + sound_id + ": " + std::to_string(status));
    log.Line("unsafe request " + paid_id + ": " + std::to_string(paid));
    seen.unsafe_unknown += paid == 502 || paid == 504 || paid == 0 ? 1 : 0;
    constexpr double kPause = 0.1;
    Sleep(kPause);
  }
}

// Counts the requests that reached upstreams though they were sent later than
// the window after the third crash.
int Judge(std::vector<std::unique_ptr<upstream>>& upstreams,
          tally& seen,
          bool has_trouble,
          record& log) {
  std::vector<run> runs;
  for (const std::unique_ptr<upstream>& entry : upstreams) {
    for (const run& candidate : entry->Runs()) {
      if (candidate.host_name == kCrashingHost && candidate.path == kPath) {
        runs.push_back(candidate);
      }
    }
  }
  std::sort(runs.begin(), runs.end(), [](const run& left, const run& right) {
    return left.time < right.time;
  });
  constexpr std::size_t kThird = 2;
  if (!has_trouble || runs.size() <= kThird) {
    log.Line(std::to_string(runs.size()) + " runs of the request");
    return 0;
  }
  const steady::time_point from = runs[kThird].time + kStableWindow;
  int late = 0;
  for (const run& entry : runs) {
    const bool is_late = seen.crashing[entry.request_id] > from;
    late += is_late ? 1 : 0;
    log.Line("request " + entry.request_id + " has crashed " + entry.upstream +
             " at " + std::to_string(log.Seconds(entry.time)) +
             (is_late ? ", too late" : ""));
  }
  return late;
}

}  // namespace

int RunCrashingRequest(const setting& shared, record& log) {
  store platform;
  std::vector<std::unique_ptr<upstream>> upstreams = StartUpstreams(
      shared, platform, "huvo11a", kUpstreams, milliseconds(100));
  if (shared.has_trouble) {
    for (const std::unique_ptr<upstream>& entry : upstreams) {
      entry->CrashOn(kCrashingHost, kPath, kDownTime);
    }
  }
  upstream sound(shared, platform, "i-sound", "lovo22d", 201, milliseconds(20));
  platform.Put(
      "config", "main",
      Configuration(shared, 7,
                    {{"r-read", "/leny950/", "safe", "huvo11a"},
                     {"r-pay", "/puka111/", "unsafe", "huvo11a"},
                     {"r-other", "/leny950/", "safe", "lovo22d", kSoundHost}},
                    {"huvo11a", "lovo22d"}));
  std::vector<std::unique_ptr<host>> hosts =
      StartHosts(shared, platform, kHosts);
  tally seen;
  std::vector<std::thread> threads;
  for (const std::unique_ptr<host>& entry : hosts) {
    threads.emplace_back([&] { RunOthers(shared, entry->front(), seen, log); });
    threads.emplace_back([&] { RunOthers(shared, entry->front(), seen, log); });
  }
  Sleep(2);
  threads.emplace_back([&] { RunCrashing(shared, hosts, seen, log); });
  const steady::time_point until =
      steady::now() + std::chrono::duration_cast<steady::duration>(
                          std::chrono::duration<double>(kTroubleSeconds));
  while (steady::now() < until) {
    for (const std::unique_ptr<upstream>& entry : upstreams) {
      entry->Recover();
    }
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
  sound.ListRuns(log);
  const int late = Judge(upstreams, seen, shared.has_trouble, log);
  log.Line(std::to_string(late) + " runs too late; unsafe requests answered " +
           std::to_string(seen.unsafe_answered) + ", with unknown outcome " +
           std::to_string(seen.unsafe_unknown) + "; the other host name " +
           std::to_string(seen.sound_answered) + " answered");
  constexpr int kRetriesAllowed = 3;
  return late > kRetriesAllowed ? kBroken : kHeld;
}

}  // namespace review

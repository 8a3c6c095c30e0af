// Callers follow the answers to "where to connect" after a final fault from
// which one machine of three comes back.

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

#include "review/stand_ins_2/cases.h"

namespace review {
namespace {

using nlohmann::json;

constexpr int kClients = 10;
constexpr milliseconds kConnectLimit{1000};
constexpr milliseconds kAnswerLimit{6000};

// What clients have seen, by the second in which the request was sent.
struct tally {
  std::mutex mutex;
  std::vector<std::pair<steady::time_point, bool>> requests;
  std::vector<std::string> last_answer;
  std::atomic<bool> is_ending{false};
};

// A client: keeps an answer for its time to live, and longer if it gets no new
// one; picks one of the addresses at random without those that have failed it.
class client {
 public:
  client(const setting& shared,
         const std::vector<std::unique_ptr<host>>& hosts,
         tally& seen,
         record& log,
         unsigned seed)
      : shared_(shared), hosts_(hosts), seen_(seen), log_(log), random_(seed) {}

  void Run() {
    while (!seen_.is_ending) {
      const steady::time_point sent = steady::now();
      const bool is_served = SendRequest();
      {
        const std::lock_guard<std::mutex> lock(seen_.mutex);
        seen_.requests.emplace_back(sent, is_served);
      }
      constexpr milliseconds kPause{200};
      std::this_thread::sleep_for(kPause);
    }
  }

 private:
  void Resolve() {
    if (steady::now() < fresh_until_) {
      return;
    }
    std::vector<const host*> asked;
    for (const std::unique_ptr<host>& entry : hosts_) {
      asked.push_back(entry.get());
    }
    std::shuffle(asked.begin(), asked.end(), random_);
    for (const host* node : asked) {
      const http_text answer = node->Ask(
          node->directory(),
          "/resolve?name=hulo84.example&region=nl-west&zone=nl-west-a");
      const json body = json::parse(answer.body, nullptr, false);
      if (answer.second != "200" || !body.is_object() ||
          !body.contains("addresses") || body["addresses"].empty()) {
        continue;
      }
      addresses_ = body["addresses"].get<std::vector<std::string>>();
      failed_.clear();
      fresh_until_ =
          steady::now() + std::chrono::seconds(body["ttl-s"].get<int>());
      const std::lock_guard<std::mutex> lock(seen_.mutex);
      seen_.last_answer = addresses_;
      return;
    }
  }

  bool SendRequest() {
    Resolve();
    std::vector<std::string> usable;
    for (const std::string& text : addresses_) {
      if (std::find(failed_.begin(), failed_.end(), text) == failed_.end()) {
        usable.push_back(text);
      }
    }
    if (usable.empty()) {
      // All have failed: only a new answer helps.
      fresh_until_ = {};
      return false;
    }
    const std::string chosen = usable[random_() % usable.size()];
    const std::size_t colon = chosen.find(':');
    const address at{
        chosen.substr(0, colon),
        static_cast<std::uint16_t>(std::stoi(chosen.substr(colon + 1)))};
    stream connection;
    http_text answer;
    const std::string id = NewId();
    if (!connection.Connect(at, kConnectLimit)) {
      log_.Line("request " + id + " to " + chosen + ": no connection");
      failed_.push_back(chosen);
      return false;
    }
    const bool is_answered =
        connection.Write(RequestText(shared_, "GET", "/leny950/2f", id,
                                     static_cast<int>(kAnswerLimit.count()),
                                     "")) &&
        connection.Read(answer, steady::now() + kAnswerLimit) ==
            read_result::kMessage;
    log_.Line("request " + id + " to " + chosen + ": " +
              (is_answered ? answer.second : "no answer"));
    return is_answered && answer.second == "200";
  }

  const setting& shared_;
  const std::vector<std::unique_ptr<host>>& hosts_;
  tally& seen_;
  record& log_;
  std::mt19937 random_;
  std::vector<std::string> addresses_;
  std::vector<std::string> failed_;
  steady::time_point fresh_until_{};
};

// Returns the served share of the requests sent in a span, and how many.
std::pair<double, int> Served(tally& seen,
                              steady::time_point from,
                              steady::time_point to) {
  const std::lock_guard<std::mutex> lock(seen.mutex);
  int sent = 0;
  int served = 0;
  for (const std::pair<steady::time_point, bool>& request : seen.requests) {
    if (request.first >= from && request.first < to) {
      ++sent;
      served += request.second ? 1 : 0;
    }
  }
  return {sent > 0 ? static_cast<double>(served) / sent : 0.0, sent};
}

// The final fault: all processes are killed at once. The machine that callers
// have not been sent to comes back, the others are lost for good.
host& StrikeAllButOne(std::vector<std::unique_ptr<host>>& hosts,
                      tally& seen,
                      record& log) {
  std::vector<std::string> served_by;
  {
    const std::lock_guard<std::mutex> lock(seen.mutex);
    served_by = seen.last_answer;
  }
  host* survivor = hosts.front().get();
  for (const std::unique_ptr<host>& entry : hosts) {
    if (std::find(served_by.begin(), served_by.end(), entry->front().Text()) ==
        served_by.end()) {
      survivor = entry.get();
    }
  }
  for (const std::unique_ptr<host>& entry : hosts) {
    entry->Kill();
  }
  log.Line("all processes killed; only " + survivor->name() + " comes back");
  constexpr double kDownTime = 1.5;
  Sleep(kDownTime);
  survivor->Start(false);
  return *survivor;
}

void Watch(tally& seen, record& log, double seconds) {
  for (int second = 0; second < static_cast<int>(seconds); ++second) {
    const steady::time_point from = steady::now();
    Sleep(1);
    const std::pair<double, int> share = Served(seen, from, steady::now());
    std::string answer;
    {
      const std::lock_guard<std::mutex> lock(seen.mutex);
      for (const std::string& entry : seen.last_answer) {
        answer += " " + entry;
      }
    }
    log.Line("requests " + std::to_string(share.second) + ", served share " +
             std::to_string(share.first) + ", callers are sent to" + answer);
  }
}

}  // namespace

int RunMostHostsLost(const setting& shared, record& log) {
  store platform;
  upstream first(shared, platform, "i-one", "huvo11a", 101, milliseconds(20));
  upstream second(shared, platform, "i-two", "huvo11a", 102, milliseconds(20));
  platform.Put(
      "config", "main",
      Configuration(shared, 7, {{"r-read", "/leny950/", "safe", "huvo11a"}},
                    {"huvo11a"}));
  std::vector<std::unique_ptr<host>> hosts = StartHosts(shared, platform, 3);
  tally seen;
  std::vector<std::unique_ptr<client>> clients;
  std::vector<std::thread> threads;
  for (unsigned number = 0; number < kClients; ++number) {
    clients.push_back(
        std::make_unique<client>(shared, hosts, seen, log, number));
    threads.emplace_back([entry = clients.back().get()] { entry->Run(); });
  }
  const steady::time_point began = steady::now();
  Watch(seen, log, 8);
  const std::pair<double, int> before = Served(seen, began, steady::now());
  host* survivor = hosts.back().get();
  if (shared.has_trouble) {
    survivor = &StrikeAllButOne(hosts, seen, log);
  }
  const steady::time_point back = steady::now();
  constexpr int kRecoverySeconds = 15;
  Watch(seen, log, kRecoverySeconds);
  const steady::time_point judged_from =
      std::max(steady::now(), back + std::chrono::seconds(kRecoverySeconds));
  constexpr int kJudgedSeconds = 20;
  Watch(seen, log, kJudgedSeconds);
  const std::pair<double, int> after =
      Served(seen, judged_from, steady::now() - std::chrono::seconds(1));
  const std::string readiness =
      survivor->Ask(survivor->ready(), "/ready").second;
  seen.is_ending = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  first.ListRuns(log);
  second.ListRuns(log);
  log.Line("served before: " + std::to_string(before.first) + " of " +
           std::to_string(before.second) + "; later than 15 s after it: " +
           std::to_string(after.first) + " of " + std::to_string(after.second) +
           "; " + survivor->name() + " answers /ready with " + readiness);
  constexpr double kQuarter = 0.25;
  if (before.first < kQuarter || after.second == 0) {
    return kCouldNotRun;
  }
  return after.first < kQuarter ? kBroken : kHeld;
}

}  // namespace review

// All processes are killed and start again while the store is down. Callers
// connect before the processes have a configuration, keep the connections, and
// later send larger bodies on them, within the limits of the configuration.

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

#include "review/stand_ins_2/cases.h"

namespace review {
namespace {

// Together 80 requests a second.
constexpr int kClients = 200;
constexpr int kMeanPauseMs = 2500;
constexpr double kStoreDownSeconds = 4.5;
constexpr std::size_t kBodyBytes = std::size_t{2} << 20;
constexpr milliseconds kLimit{6000};

struct tally {
  std::atomic<int> sent{0};
  std::atomic<int> denied{0};
  std::atomic<int> served{0};
  std::atomic<int> answered_503{0};
};

// A client with one connection that it keeps.
class client {
 public:
  client(const setting& shared,
         const std::vector<std::unique_ptr<host>>& hosts,
         tally& seen,
         record& log,
         unsigned seed)
      : shared_(shared), hosts_(hosts), seen_(seen), log_(log), random_(seed) {}

  // Sends small requests until the end. A broken connection is replaced by a
  // new one to an address at random.
  void RunSmall(steady::time_point until) {
    while (steady::now() < until) {
      const http_text answer = Send("GET", "/leny950/2f", "");
      if (answer.second == "503") {
        ++seen_.answered_503;
      }
      std::uniform_int_distribution<int> pause(0, 2 * kMeanPauseMs);
      std::this_thread::sleep_for(milliseconds(pause(random_)));
    }
  }

  void SendLarge() {
    const http_text answer =
        Send("POST", "/puka111/2f", std::string(kBodyBytes, 'x'));
    if (answer.second == "413") {
      ++seen_.denied;
    }
  }

 private:
  http_text Send(const std::string& method,
                 const std::string& path,
                 const std::string& body) {
    http_text answer;
    constexpr milliseconds kConnectLimit{1000};
    if (!connection_.IsOpen()) {
      const host& chosen = *hosts_[random_() % hosts_.size()];
      at_ = chosen.name();
      if (!connection_.Connect(chosen.front(), kConnectLimit)) {
        return answer;
      }
    }
    ++seen_.sent;
    const std::string id = NewId();
    const std::string sent = method + " " + path + " " + id + " with " +
                             std::to_string(body.size()) + " bytes to " + at_;
    // A refusal may come before the whole body has been sent.
    connection_.Write(RequestText(shared_, method, path, id,
                                  static_cast<int>(kLimit.count()), body));
    if (connection_.Read(answer, steady::now() + kLimit) !=
        read_result::kMessage) {
      connection_.Close();
      log_.Line(sent + ": no answer");
      return {};
    }
    log_.Line(sent + ": " + answer.second);
    seen_.served += answer.second == "200" ? 1 : 0;
    if (answer.Header("Connection") == "close") {
      connection_.Close();
    }
    return answer;
  }

  const setting& shared_;
  const std::vector<std::unique_ptr<host>>& hosts_;
  tally& seen_;
  record& log_;
  std::mt19937 random_;
  stream connection_;
  std::string at_;
};

void RunSmallUntil(std::vector<std::unique_ptr<client>>& clients,
                   steady::time_point until,
                   const std::function<void()>& meanwhile) {
  std::vector<std::thread> threads;
  threads.reserve(clients.size());
  for (const std::unique_ptr<client>& entry : clients) {
    threads.emplace_back([&entry, until] { entry->RunSmall(until); });
  }
  meanwhile();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

// Takes the store down and kills all processes, which start again before it is
// back.
void Strike(store& platform,
            const std::vector<std::unique_ptr<host>>& hosts,
            record& log) {
  platform.SetDown(true);
  for (const std::unique_ptr<host>& entry : hosts) {
    entry->Kill();
  }
  log.Line("the store is down; all processes killed");
  constexpr double kDownTime = 1.2;
  Sleep(kDownTime);
  for (const std::unique_ptr<host>& entry : hosts) {
    entry->Start(false);
  }
  log.Line("all processes started again");
  Sleep(kStoreDownSeconds - kDownTime);
  platform.SetDown(false);
  log.Line("the store is back");
}

}  // namespace

int RunBodyLimit(const setting& shared, record& log) {
  store platform;
  const std::vector<std::unique_ptr<upstream>> upstreams =
      StartUpstreams(shared, platform, "wuno96b", 4, milliseconds(10));
  platform.Put("config", "main",
               Configuration(shared, 7,
                             {{"r-read", "/leny950/", "safe", "wuno96b"},
                              {"r-pay", "/puka111/", "unsafe", "wuno96b"}},
                             {"wuno96b"}));
  std::vector<std::unique_ptr<host>> hosts = StartHosts(shared, platform, 2);
  tally seen;
  std::vector<std::unique_ptr<client>> clients;
  for (unsigned number = 0; number < kClients; ++number) {
    clients.push_back(
        std::make_unique<client>(shared, hosts, seen, log, number));
  }
  RunSmallUntil(clients, steady::now() + std::chrono::seconds(10), [&] {
    Sleep(3);
    if (shared.has_trouble) {
      Strike(platform, hosts, log);
    }
  });
  // Idle for less than four fifths of idle-timeout-ms; all hosts are in touch
  // again after stable-window-ms.
  Sleep(4);
  for (const std::unique_ptr<client>& entry : clients) {
    entry->SendLarge();
  }
  for (const std::unique_ptr<upstream>& entry : upstreams) {
    entry->ListRuns(log);
  }
  log.Line("requests " + std::to_string(seen.sent) + ", served " +
           std::to_string(seen.served) + ", 503 " +
           std::to_string(seen.answered_503) + ", bodies denied with 413 " +
           std::to_string(seen.denied));
  constexpr int kDeniedAllowed = 5;
  constexpr int kOneIn = 500;
  return seen.denied > kDeniedAllowed + seen.sent / kOneIn ? kBroken : kHeld;
}

}  // namespace review

// The host that leads its zone is cut off from the store. The other hosts are
// asked directly which configuration is in force.

#include <algorithm>
#include <thread>

#include "review/stand_ins_2/cases.h"

namespace review {
namespace {

constexpr int kHosts = 4;
constexpr double kStaleSeconds = 3.0;
constexpr double kCutSeconds = 5.5;
constexpr milliseconds kConfigBound{2000};

struct sent_request {
  std::string id;
  std::string host_name;
  steady::time_point time;
  bool is_cut_host = false;
};

// Sends a request to each host and adds it to `sent`.
void AskEachHost(const setting& shared,
                 const std::vector<std::unique_ptr<host>>& hosts,
                 const host* cut,
                 std::vector<sent_request>& sent,
                 record& log) {
  for (const std::unique_ptr<host>& entry : hosts) {
    stream connection;
    http_text answer;
    const std::string id = NewId();
    constexpr milliseconds kLimit{1000};
    sent.emplace_back(
        sent_request{id, entry->name(), steady::now(), entry.get() == cut});
    const bool is_answered = connection.Connect(entry->front(), kLimit) &&
                             connection.Write(RequestText(
                                 shared, "GET", "/leny950/2f", id, 1000, "")) &&
                             connection.Read(answer, steady::now() + kLimit) ==
                                 read_result::kMessage;
    log.Line("request " + id + " to " + entry->name() + ": " +
             (is_answered ? answer.second + " " + answer.body : "no answer"));
  }
}

// Returns the host that leads: only a leader watches the store without stale
// data, again and again.
host* FindLeader(const std::vector<std::unique_ptr<host>>& hosts) {
  std::vector<int> before;
  before.reserve(hosts.size());
  for (const std::unique_ptr<host>& entry : hosts) {
    before.push_back(entry->way().current_watches);
  }
  constexpr double kObserved = 4.0;
  Sleep(kObserved);
  host* leader = nullptr;
  for (std::size_t number = 0; number < hosts.size(); ++number) {
    constexpr int kManyWatches = 4;
    if (hosts[number]->way().current_watches - before[number] >= kManyWatches) {
      leader = hosts[number].get();
    }
  }
  return leader;
}

// Counts the requests that the old service ran though they were sent later than
// the bound after the acknowledgement, without those to the host that is cut.
int CountOldRuns(const std::vector<sent_request>& sent,
                 upstream& old_upstream,
                 steady::time_point acknowledged,
                 record& log) {
  int count = 0;
  for (const run& entry : old_upstream.Runs()) {
    const std::vector<sent_request>::const_iterator found = std::find_if(
        sent.begin(), sent.end(), [&entry](const sent_request& request) {
          return request.id == entry.request_id;
        });
    if (found == sent.end() || found->is_cut_host ||
        found->time <= acknowledged + kConfigBound) {
      continue;
    }
    ++count;
    log.Line(
        "request " + found->id + " to " + found->host_name + ", sent " +
        std::to_string(
            std::chrono::duration<double>(found->time - acknowledged).count()) +
        " s after the acknowledgement, was run by the old service");
  }
  return count;
}

}  // namespace

int RunLeaderCut(const setting& shared, record& log) {
  store platform;
  upstream old_upstream(shared, platform, "i-old", "huvo11a", 101,
                        milliseconds(10));
  upstream new_upstream(shared, platform, "i-new", "lovo22d", 102,
                        milliseconds(10));
  const std::vector<std::string> services = {"huvo11a", "lovo22d"};
  platform.Put(
      "config", "main",
      Configuration(shared, 7, {{"r-read", "/leny950/", "safe", "huvo11a"}},
                    services));
  std::vector<std::unique_ptr<host>> hosts =
      StartHosts(shared, platform, kHosts);
  platform.SetStaleness(milliseconds(static_cast<int>(kStaleSeconds * 1000)));
  host* leader = FindLeader(hosts);
  if (leader == nullptr) {
    log.Line("no host leads");
    return kCouldNotRun;
  }
  log.Line(leader->name() + " leads; reads with serializable=1 are " +
           std::to_string(kStaleSeconds) + " s old");
  if (shared.has_trouble) {
    leader->way().service->Cut();
    log.Line(leader->name() + " is cut off from the store");
  }
  const steady::time_point cut_at = steady::now();
  // Longer than stable-window-ms, so that all but the cut host are in touch.
  constexpr double kCalm = 3.2;
  Sleep(kCalm);
  const steady::time_point acknowledged = platform.Put(
      "config", "main",
      Configuration(shared, 9, {{"r-read", "/leny950/", "safe", "lovo22d"}},
                    services));
  log.Line("version 9 is acknowledged: the route goes to lovo22d");
  std::vector<sent_request> sent;
  while (steady::now() < acknowledged + std::chrono::seconds(6)) {
    if (steady::now() - cut_at > std::chrono::duration<double>(kCutSeconds)) {
      leader->way().service->Open();
    }
    AskEachHost(shared, hosts, shared.has_trouble ? leader : nullptr, sent,
                log);
    constexpr double kPause = 0.1;
    Sleep(kPause);
  }
  old_upstream.ListRuns(log);
  new_upstream.ListRuns(log);
  const int old_runs = CountOldRuns(sent, old_upstream, acknowledged, log);
  log.Line(std::to_string(old_runs) + " of " + std::to_string(sent.size()) +
           " requests break the bound");
  return old_runs > 0 ? kBroken : kHeld;
}

}  // namespace review

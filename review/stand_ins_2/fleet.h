#ifndef REVIEW_STAND_INS_2_FLEET_H_
#define REVIEW_STAND_INS_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "review/stand_ins_2/http_service.h"
#include "review/stand_ins_2/store.h"

namespace review {

// What a case gets from its command line, and what it shares.
struct setting {
  std::string program;
  // The folder with the texts that clients, upstreams, the platform and hosts
  // exchange, and the names that they use.
  std::string wire_folder;
  std::string work_folder;
  bool has_trouble = true;
  std::map<std::string, std::string> names;
  // The first three numbers of the loopback addresses of this run.
  std::string network;
};

// Reads the names of the folder and picks a network.
void Prepare(setting& shared);

// Reads a text of the folder and replaces "@KEY@" by values.
std::string FillIn(const setting& shared,
                   const std::string& file,
                   const std::map<std::string, std::string>& values);

// Writes lines with the time since the start to the record. Thread safe.
class record {
 public:
  explicit record(const std::string& path);
  ~record();
  record(const record&) = delete;
  record& operator=(const record&) = delete;
  void Line(const std::string& text);
  double Seconds(steady::time_point at) const;

 private:
  std::mutex mutex_;
  std::FILE* file_;
  steady::time_point start_ = steady::now();
};

// One process of the system, on a loopback address of its own.
class host {
 public:
  host(const setting& shared,
       store& platform,
       const std::string& name,
       const std::string& zone,
       int number);
  ~host();
  host(const host&) = delete;
  host& operator=(const host&) = delete;

  // `is_first` says that the whole system starts for the first time.
  void Start(bool is_first);
  // Sends SIGKILL and waits for the end.
  void Kill();
  // Returns true if the process runs.
  bool IsRunning();

  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }
  store::link& way() { return way_; }
  address front() const { return {ip_, 8641}; }
  address ready() const { return {ip_, 8640}; }
  address directory() const { return {ip_, 8644}; }

  // Returns what the process answers to a question at `path`, or status 0.
  http_text Ask(const address& at, const std::string& path) const;

 private:
  const setting& shared_;
  std::string name_;
  std::string zone_;
  std::string ip_;
  store::link& way_;
  pid_t pid_ = -1;
};

// One run of a request at an upstream.
struct run {
  std::string request_id;
  std::string host_name;
  std::string path;
  std::string upstream;
  steady::time_point time;
};

// An upstream that runs each request for some time and then answers with its
// name.
class upstream {
 public:
  upstream(const setting& shared,
           store& platform,
           const std::string& id,
           const std::string& service,
           int number,
           milliseconds work);
  upstream(const upstream&) = delete;
  upstream& operator=(const upstream&) = delete;

  // Writes the entry. `warm_up_left` says how much longer it is slow.
  void Report(const std::string& state,
              milliseconds warm_up_left = milliseconds(0));

  // From now on, a run of a request at `path` of the host `host_name` crashes
  // this upstream: its connections end, new ones are refused, and it says
  // nothing until it starts again under the same id, some time later.
  void CrashOn(const std::string& host_name,
               const std::string& path,
               milliseconds down_time);

  // Ends the process for good.
  void Stop() { server_.Cut(); }

  // Starts again if the time has come. Call it often.
  void Recover();

  std::vector<run> Runs();
  // Writes all runs to the record.
  void ListRuns(record& log);
  const std::string& id() const { return id_; }

 private:
  bool Handle(stream& peer, const http_text& request);

  const setting& shared_;
  store& platform_;
  std::string id_;
  std::string service_;
  const milliseconds work_;
  std::int64_t born_;
  int sequence_ = 0;
  std::mutex mutex_;
  std::vector<run> runs_;
  std::string crash_host_;
  std::string crash_path_;
  milliseconds down_time_{0};
  // Set while the upstream is down after a crash.
  std::optional<steady::time_point> down_until_;
  http_service server_;
};

// Returns upstreams of one service that have registered.
std::vector<std::unique_ptr<upstream>> StartUpstreams(
    const setting& shared,
    store& platform,
    const std::string& service,
    int count,
    milliseconds work);

// Starts the hosts of one zone for the first time and waits until traffic may
// begin.
std::vector<std::unique_ptr<host>> StartHosts(const setting& shared,
                                              store& platform,
                                              int count);

// A route of a configuration.
struct route {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  std::string host_name = "hulo84.example";
};

// Returns a configuration as the operator writes it.
nlohmann::json Configuration(const setting& shared,
                             int version,
                             const std::vector<route>& routes,
                             const std::vector<std::string>& services);

// Returns the text of a request. `id` is its own for each attempt.
std::string RequestText(const setting& shared,
                        const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        const std::string& body,
                        const std::string& host_name = "hulo84.example");

// Returns an id that no other request has.
std::string NewId();

void Sleep(double seconds);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_FLEET_H_

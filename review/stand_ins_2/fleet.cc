#include "review/stand_ins_2/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void Prepare(setting& shared) {
  std::istringstream lines(ReadFile(shared.wire_folder + "/names.txt"));
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t equals = line.find('=');
    if (equals != std::string::npos) {
      shared.names[line.substr(0, equals)] = line.substr(equals + 1);
    }
  }
  constexpr int kNetworks = 200;
  shared.network = "127." + std::to_string(20 + getpid() % kNetworks) + "." +
                   std::to_string(getpid() / kNetworks % kNetworks) + ".";
}

std::string FillIn(const setting& shared,
                   const std::string& file,
                   const std::map<std::string, std::string>& values) {
  std::string text = ReadFile(shared.wire_folder + "/" + file);
  for (const std::map<std::string, std::string>::value_type& value : values) {
    const std::string mark = "@" + value.first + "@";
    for (std::size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + value.second.size())) {
      text.replace(at, mark.size(), value.second);
    }
  }
  return text;
}

record::record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    constexpr int kCannotRun = 2;
    std::_Exit(kCannotRun);
  }
}

record::~record() {
  std::fclose(file_);
}

void record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::fprintf(file_, "%8.3f %s\n", Seconds(steady::now()), text.c_str());
  std::fflush(file_);
}

double record::Seconds(steady::time_point at) const {
  return std::chrono::duration<double>(at - start_).count();
}

host::host(const setting& shared,
           store& platform,
           const std::string& name,
           const std::string& zone,
           int number)
    : shared_(shared),
      name_(name),
      zone_(zone),
      ip_(shared.network + std::to_string(number)),
      way_(platform.AddLink(ip_)) {}

host::~host() {
  Kill();
}

void host::Start(bool is_first) {
  const std::string path = shared_.work_folder + "/" + name_ + ".conf";
  std::ofstream(path) << FillIn(shared_, "settings.txt",
                                {{"NODE", name_},
                                 {"IP", ip_},
                                 {"ZONE", zone_},
                                 {"BOOTSTRAP", is_first ? "true" : "false"},
                                 {"STORE", way_.service->at().Text()}});
  const std::string log = shared_.work_folder + "/" + name_ + ".log";
  const std::string variable =
      shared_.names.at("settings_variable") + "=" + path;
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::string program = shared_.program;
    std::string setting_text = variable;
    char* arguments[] = {program.data(), nullptr};
    char* environment[] = {setting_text.data(), nullptr};
    execve(program.c_str(), arguments, environment);
    constexpr int kNotStarted = 127;
    std::_Exit(kNotStarted);
  }
}

void host::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool host::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

http_text host::Ask(const address& at, const std::string& path) const {
  stream connection;
  http_text answer;
  constexpr milliseconds kLimit{1000};
  if (!connection.Connect(at, kLimit) ||
      !connection.Write("GET " + path +
                        " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") ||
      connection.Read(answer, steady::now() + kLimit) !=
          read_result::kMessage) {
    return {};
  }
  return answer;
}

upstream::upstream(const setting& shared,
                   store& platform,
                   const std::string& id,
                   const std::string& service,
                   int number,
                   milliseconds work)
    : shared_(shared),
      platform_(platform),
      id_(id),
      service_(service),
      work_(work),
      born_(UnixMs()),
      server_({shared.network + std::to_string(number), 8080},
              [this](stream& peer, const http_text& request) {
                return Handle(peer, request);
              }) {
  Report("ready");
}

void upstream::Report(const std::string& state, milliseconds warm_up_left) {
  platform_.Put(
      "servers", id_,
      json::parse(FillIn(shared_, "server.json",
                         {{"SERVICE", service_},
                          {"ADDRESS", server_.at().Text()},
                          {"ZONE", "nl-west-a"},
                          {"STATE", state},
                          {"WARM", std::to_string(warm_up_left.count())},
                          {"SEQ", std::to_string(++sequence_)},
                          {"BORN", std::to_string(born_)}})));
}

void upstream::CrashOn(const std::string& host_name,
                       const std::string& path,
                       milliseconds down_time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  crash_host_ = host_name;
  crash_path_ = path;
  down_time_ = down_time;
}

void upstream::Recover() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!down_until_ || steady::now() < *down_until_) {
    return;
  }
  down_until_.reset();
  born_ = UnixMs();
  sequence_ = 0;
  server_.Open();
  Report("ready");
}

std::vector<run> upstream::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

void upstream::ListRuns(record& log) {
  for (const run& entry : Runs()) {
    log.Line("run of " + entry.request_id + " (" + entry.host_name +
             entry.path + ") at " + id_ + ", began at " +
             std::to_string(log.Seconds(entry.time)));
  }
}

bool upstream::Handle(stream& peer, const http_text& request) {
  const std::string request_id = request.Header(shared_.names.at("id_header"));
  const std::string expected =
      request.Header(shared_.names.at("expected_header"));
  const std::string instance =
      shared_.names.at("instance_header") + ": " + id_ + "\r\n";
  if (!expected.empty() && expected != id_) {
    constexpr int kOtherInstance = 421;
    return peer.Write(ResponseText(kOtherInstance, instance, ""));
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (down_until_) {
      return false;
    }
    runs_.push_back({request_id, request.Header("Host"), request.second, id_,
                     steady::now()});
    if (!crash_path_.empty() && request.second == crash_path_ &&
        request.Header("Host") == crash_host_) {
      down_until_ = steady::now() + down_time_;
      server_.Cut();
      return false;
    }
  }
  std::this_thread::sleep_for(work_);
  return peer.Write(ResponseText(
      200,
      shared_.names.at("id_header") + ": " + request_id + "\r\n" +
          shared_.names.at("signature_header") + ": " + id_ + "\r\n",
      id_));
}

std::vector<std::unique_ptr<upstream>> StartUpstreams(
    const setting& shared,
    store& platform,
    const std::string& service,
    int count,
    milliseconds work) {
  constexpr int kFirstNumber = 101;
  std::vector<std::unique_ptr<upstream>> started;
  started.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    started.push_back(std::make_unique<upstream>(
        shared, platform, "i-" + std::to_string(number), service,
        kFirstNumber + number, work));
  }
  return started;
}

std::vector<std::unique_ptr<host>> StartHosts(const setting& shared,
                                              store& platform,
                                              int count) {
  std::vector<std::unique_ptr<host>> started;
  for (int number = 1; number <= count; ++number) {
    started.push_back(std::make_unique<host>(
        shared, platform, "front-nl-west-a-" + std::to_string(number),
        "nl-west-a", number));
    started.back()->Start(true);
  }
  constexpr double kLeadSeconds = 8.0;
  Sleep(kLeadSeconds);
  return started;
}

json Configuration(const setting& shared,
                   int version,
                   const std::vector<route>& routes,
                   const std::vector<std::string>& services) {
  std::string route_texts;
  for (const route& entry : routes) {
    route_texts += (route_texts.empty() ? "\"" : ",\"") + entry.name + "\":" +
                   FillIn(shared, "route.json",
                          {{"HOST", entry.host_name},
                           {"PREFIX", entry.prefix},
                           {"KIND", entry.kind},
                           {"SERVICE", entry.service}});
  }
  std::string service_texts;
  for (const std::string& service : services) {
    service_texts += (service_texts.empty() ? "\"" : ",\"") + service +
                     "\":" + FillIn(shared, "service.json", {});
  }
  char version_text[16];
  std::snprintf(version_text, sizeof(version_text), "%08x", version);
  return json::parse(FillIn(shared, "config.json",
                            {{"VERSION", version_text},
                             {"ROUTES", route_texts},
                             {"SERVICES", service_texts}}));
}

std::string RequestText(const setting& shared,
                        const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        const std::string& body,
                        const std::string& host_name) {
  std::string text = method + " " + path + " HTTP/1.1\r\n" +
                     "Host: " + host_name + "\r\n" +
                     shared.names.at("id_header") + ": " + id + "\r\n" +
                     shared.names.at("deadline_header") + ": " +
                     std::to_string(deadline_ms) + "\r\n";
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string NewId() {
  static std::atomic<std::uint64_t> next{std::random_device{}() * 65536ULL};
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(++next));
  return text;
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

}  // namespace review

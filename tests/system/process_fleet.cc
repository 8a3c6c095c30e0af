#include "tests/system/process_fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <random>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

constexpr char kLoopback[] = "127.0.0.1";
constexpr std::chrono::seconds kStartLimit(60);
constexpr std::chrono::seconds kStopLimit(30);
constexpr std::chrono::milliseconds kPollInterval(20);
constexpr std::chrono::milliseconds kAdminTimeout(500);
constexpr int kOk = 200;

constexpr char kServiceSections[] = R"([note]
id = fault-schedule
author = fault-schedule
base_version = 0

[add service certificates]
floor_percent = 50
timeout_ms = 2000
queue_limit = 200
patience_ms = 500
max_body_bytes = 65536

[add route issue]
service = certificates
path_prefix = /issue/
kind = issue
idempotent = false
key_required = true

[add route remark]
service = certificates
path_prefix = /remark/
kind = remark
idempotent = false
key_required = false

[add route lookup]
service = certificates
path_prefix = /lookup/
kind = lookup
idempotent = true
)";

// The environment variable serves trials with programs of another build.
std::string ProgramFolder() {
  const char* const folder = std::getenv("FAULT_SCHEDULE_PROGRAMS");
  return folder == nullptr ? PROGRAM_FOLDER : folder;
}

std::string Address(int port) {
  return std::string(kLoopback) + ":" + std::to_string(port);
}

httplib::Client MakeClient(int port) {
  httplib::Client client(kLoopback, port);
  client.set_connection_timeout(kAdminTimeout);
  client.set_read_timeout(kAdminTimeout);
  return client;
}

bool Post(int port, const std::string& path) {
  httplib::Client client = MakeClient(port);
  const httplib::Result response = client.Post(path);
  return response && response->status == kOk;
}

bool IsFree(int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int bound = ::bind(
      descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  ::close(descriptor);
  return bound == 0;
}

bool WaitFor(const std::function<bool()>& condition) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + kStartLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

// Returns the port in the line "<name> IP:PORT" of a program's output, or 0.
int PortInOutput(const std::string& path, const std::string& name) {
  std::ifstream output(path);
  std::string line;
  while (std::getline(output, line)) {
    if (line.starts_with(name + " ") && !output.eof()) {
      return std::atoi(line.substr(line.rfind(':') + 1).c_str());
    }
  }
  return 0;
}

}  // namespace

process_fleet::process_fleet(std::uint64_t seed)
    : seed_(seed), links_(kLinks), targets_(kTargets), hosts_(kHosts) {
  folder_ = std::filesystem::temp_directory_path() / "fault-schedule-XXXXXX";
  if (::mkdtemp(folder_.data()) == nullptr) {
    folder_.clear();
  }
}

process_fleet::~process_fleet() {
  // The processes write into the folder until they end.
  hosts_.clear();
  targets_.clear();
  links_.clear();
  store_.process.reset();
  if (!is_kept_ && !folder_.empty()) {
    std::filesystem::remove_all(folder_);
  }
}

bool process_fleet::Start() {
  if (folder_.empty()) {
    return false;
  }
  store_.port = FreePort();
  store_.process = StartProgram("stand_in_store", "store",
                                {"--port=" + std::to_string(store_.port)});
  if (!StartTargetsAndLinks() || !Publish()) {
    return false;
  }
  for (member& host : hosts_) {
    host.port = FreePort();
    host.peer_port = FreePort();
    host.admin_port = FreePort();
  }
  for (std::size_t index = 0; index < kHosts; ++index) {
    WriteSettings(index);
    StartHost(index);
  }
  for (std::size_t index = 0; index < kHosts; ++index) {
    if (!WaitUntilServing(index) || !WaitUntilFleetIsKnown(index)) {
      return false;
    }
  }
  return true;
}

bool process_fleet::StartTargetsAndLinks() {
  for (std::size_t index = 0; index < kTargets; ++index) {
    targets_[index].port = FreePort();
    StartTarget(index);
  }
  for (std::size_t index = 0; index < kLinkedTargets; ++index) {
    const std::size_t linked = kTargets - kLinkedTargets + index;
    if (!StartLink(index, targets_[linked].port)) {
      return false;
    }
  }
  return StartLink(kLinkedTargets, store_.port);
}

bool process_fleet::StartLink(std::size_t index, int server_port) {
  member& link = links_[index];
  const std::string name = "link-" + std::to_string(index);
  link.process =
      StartProgram("stand_in_link", name, {"--to=" + Address(server_port)});
  return WaitFor([&] {
    link.port = PortInOutput(PathOf(name + ".out"), "listening");
    link.admin_port = PortInOutput(PathOf(name + ".out"), "admin");
    return link.port != 0 && link.admin_port != 0;
  });
}

void process_fleet::StartHost(std::size_t index) {
  const std::string name = "host-" + std::to_string(index);
  hosts_[index].process =
      StartProgram("bulrushd", name, {"--settings=" + PathOf(name + ".ini")});
}

void process_fleet::StartTarget(std::size_t index) {
  const std::string name = "target-" + std::to_string(index);
  targets_[index].process = StartProgram(
      "stand_in_target", name,
      {"--name=" + name, "--port=" + std::to_string(targets_[index].port),
       "--seed=" + std::to_string(seed_ + index), "--work=default:20:0.8",
       "--history=" + PathOf(name + ".jsonl")});
}

std::string process_fleet::HostAddress(std::size_t index) const {
  return Address(hosts_[index].port);
}

std::string process_fleet::HostAddresses() const {
  std::string addresses;
  for (std::size_t index = 0; index < kHosts; ++index) {
    addresses += (index == 0 ? "" : ",") + HostAddress(index);
  }
  return addresses;
}

bool process_fleet::SetTargetMode(std::size_t index, const std::string& query) {
  return Post(targets_[index].port, "/_admin/mode?mode=" + query);
}

bool process_fleet::SetLinkMode(std::size_t index, const std::string& mode) {
  return Post(links_[index].admin_port, "/_admin/mode?mode=" + mode);
}

bool process_fleet::ControlStore(const std::string& path) {
  return Post(store_.port, "/control/" + path);
}

std::optional<std::string> process_fleet::KeyPrefix(std::size_t index) {
  httplib::Client client = MakeClient(hosts_[index].port);
  const httplib::Result response = client.Get("/_bulrush/key");
  if (!response || response->status != kOk) {
    return std::nullopt;
  }
  return nlohmann::json::parse(response->body)
      .at("key_prefix")
      .get<std::string>();
}

std::unique_ptr<child_process> process_fleet::StartCaller(
    std::vector<std::string> arguments) {
  const std::string name = "caller-" + std::to_string(callers_started_++);
  arguments.push_back("--history=" + PathOf(name + ".jsonl"));
  return StartProgram("bulrush_call", name, arguments);
}

bool process_fleet::Stop() {
  for (member& host : hosts_) {
    host.process->Signal(SIGKILL);
  }
  bool are_stopped = true;
  for (member& target : targets_) {
    target.process->Signal(SIGTERM);
    are_stopped = target.process->WaitForEnd(kStopLimit) && are_stopped;
  }
  return are_stopped;
}

std::string process_fleet::PathOf(std::string_view name) const {
  return folder_ + "/" + std::string(name);
}

const std::string& process_fleet::Keep() {
  is_kept_ = true;
  return folder_;
}

std::unique_ptr<child_process> process_fleet::StartProgram(
    const std::string& program,
    const std::string& name,
    const std::vector<std::string>& arguments) {
  std::vector<std::string> all = {ProgramFolder() + "/" + program};
  all.insert(all.end(), arguments.begin(), arguments.end());
  return std::make_unique<child_process>(all, PathOf(name + ".out"));
}

// Ports below the range that the system gives to outgoing connections, so that
// no connection takes the port of a process that is about to be replaced.
int process_fleet::FreePort() {
  constexpr int kFirstPort = 12'000;
  constexpr int kPorts = 18'000;
  if (last_port_ == 0) {
    std::random_device entropy;
    last_port_ = kFirstPort + static_cast<int>(entropy() % kPorts);
  }
  do {
    last_port_ = kFirstPort + (last_port_ + 1 - kFirstPort) % kPorts;
  } while (!IsFree(last_port_));
  return last_port_;
}

int process_fleet::TargetPortForHosts(std::size_t index) const {
  const std::size_t first_linked = kTargets - kLinkedTargets;
  return index < first_linked ? targets_[index].port
                              : links_[index - first_linked].port;
}

bool process_fleet::Publish() {
  WriteNote();
  return WaitFor([this] {
    std::unique_ptr<child_process> publisher = StartProgram(
        "bulrushctl", "publish",
        {"publish", PathOf("note.ini"), "--store=" + Address(store_.port)});
    return publisher->WaitForEnd(kStartLimit) && publisher->exit_code() == 0;
  });
}

void process_fleet::WriteNote() const {
  std::ofstream note(PathOf("note.ini"));
  note << kServiceSections;
  for (std::size_t index = 0; index < kTargets; ++index) {
    note << "\n[add target certificates/target-" << index << "]\n"
         << "address = " << Address(TargetPortForHosts(index)) << "\n"
         << "zone = a\nslots = 6\nmax_connections = 450\n";
  }
}

void process_fleet::WriteSettings(std::size_t index) const {
  const member& host = hosts_[index];
  std::string seeds;
  for (const member& other : hosts_) {
    seeds += (seeds.empty() ? "" : ",") + Address(other.peer_port);
  }
  std::ofstream settings(PathOf("host-" + std::to_string(index) + ".ini"));
  settings << "[host]\nid = host-" << index << "\nzone = a\n"
           << "caller_address = " << Address(host.port) << "\n"
           << "peer_address = " << Address(host.peer_port) << "\n"
           << "admin_address = " << Address(host.admin_port) << "\n"
           << "leaving_grace_ms = 1000\ndiscovery_ttl_ms = 1000\n"
           << "probe_interval_ms = 1000\nlog_level = info\n\n"
           << "[store]\naddress = " << Address(links_[kLinkedTargets].port)
           << "\ntimeout_ms = 1000\n\n"
           << "[peers]\nseeds = " << seeds << "\n"
           << "key = only-for-processes-on-loopback-00\n";
}

bool process_fleet::WaitUntilFleetIsKnown(std::size_t index) {
  return WaitFor([this, index] {
    httplib::Client client = MakeClient(hosts_[index].admin_port);
    const httplib::Result response = client.Get("/status");
    if (!response || response->status != kOk) {
      return false;
    }
    const nlohmann::json report =
        nlohmann::json::parse(response->body, nullptr, false);
    const nlohmann::json hosts = report.value("hosts", nlohmann::json::array());
    const std::ptrdiff_t live = std::count_if(
        hosts.begin(), hosts.end(), [](const nlohmann::json& host) {
          return host.value("state", "") == "live";
        });
    return live == static_cast<std::ptrdiff_t>(kHosts);
  });
}

bool process_fleet::WaitUntilServing(std::size_t index) {
  return WaitFor([this, index] {
    httplib::Client client = MakeClient(hosts_[index].port);
    const httplib::Result response = client.Get("/lookup/start");
    return response && response->status == kOk;
  });
}

}  // namespace bulrushshore

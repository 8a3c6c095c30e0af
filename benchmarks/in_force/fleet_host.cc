#include "benchmarks/in_force/fleet_host.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace bulrushshore {
namespace {

constexpr char kLoopback[] = "127.0.0.1";

bool IsFree(std::uint16_t port) {
  const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_bound =
      ::bind(probe, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0;
  ::close(probe);
  return is_bound;
}

// Below the range that the kernel gives to connections, so that no connection
// takes the port of a host that restarts.
endpoint FreeAddress() {
  constexpr std::uint16_t kFirst = 20'000;
  constexpr std::uint16_t kCount = 11'000;
  static std::uint16_t next = static_cast<std::uint16_t>(
      kFirst + static_cast<unsigned>(::getpid()) * 200 % kCount);
  do {
    next =
        next >= kFirst + kCount ? kFirst : static_cast<std::uint16_t>(next + 1);
  } while (!IsFree(next));
  return {kLoopback, next};
}

std::string JoinSeeds(const std::vector<endpoint>& seeds) {
  std::string text;
  for (const endpoint& seed : seeds) {
    text += (text.empty() ? "" : ",") + FormatEndpoint(seed);
  }
  return text;
}

void WriteSettings(const std::string& file,
                   const std::string& id,
                   const std::string& zone,
                   const host_addresses& addresses,
                   const fleet_settings& settings) {
  std::ofstream stream(file);
  // The targets of the run are not real, so that they are not probed.
  stream << "[host]\nid = " << id << "\nzone = " << zone
         << "\ncaller_address = " << FormatEndpoint(addresses.caller)
         << "\npeer_address = " << FormatEndpoint(addresses.peer)
         << "\nadmin_address = " << FormatEndpoint(addresses.admin)
         << "\nleaving_grace_ms = 0\ndiscovery_ttl_ms = 1000"
         << "\nprobe_interval_ms = 0\nlog_level = info\n\n[store]\naddress = "
         << FormatEndpoint(settings.store)
         << "\ntimeout_ms = 1000\n\n[peers]\nseeds = "
         << JoinSeeds(settings.seeds)
         << "\nkey = only-for-processes-on-loopback-00\n";
}

// Returns the value of an unlabelled metric, or 0.
std::uint64_t MetricOf(const std::string& text, const std::string& name) {
  const std::size_t position = text.find("\n" + name + " ");
  return position == std::string::npos
             ? 0
             : std::strtoull(text.c_str() + position + name.size() + 2, nullptr,
                             10);
}

}  // namespace

host_addresses FreeAddresses() {
  const endpoint caller = FreeAddress();
  const endpoint peer = FreeAddress();
  return {caller, peer, FreeAddress()};
}

fleet_host::fleet_host(std::string id,
                       std::string zone,
                       host_addresses addresses,
                       const fleet_settings& settings,
                       const clock& time_source)
    : id_(std::move(id)),
      addresses_(std::move(addresses)),
      settings_(settings),
      settings_file_(settings.work + "/" + id_ + ".ini"),
      clock_(time_source),
      watch_(addresses_.admin, time_source) {
  WriteSettings(settings_file_, id_, zone, addresses_, settings_);
}

void fleet_host::Start() {
  able_since_ = clock_.Now();
  ++process_number_;
  watch_.NoteRestart();
  process_ = child_process::Start(
      {settings_.binaries + "/bulrushd", "--settings=" + settings_file_},
      settings_.work + "/" + id_ + ".log");
  if (process_ == nullptr) {
    std::cerr << "in_force: cannot start " << id_ << "\n";
    std::exit(EXIT_FAILURE);
  }
}

void fleet_host::Kill() {
  process_.reset();
  watch_.NoteRestart();
}

void fleet_host::Freeze() {
  process_->Signal(SIGSTOP);
}

void fleet_host::Resume() {
  process_->Signal(SIGCONT);
  able_since_ = clock_.Now();
}

std::optional<host_usage> fleet_host::Usage() const {
  httplib::Client client(addresses_.admin.ip, addresses_.admin.port);
  const httplib::Result response = client.Get("/metrics");
  if (!response || process_ == nullptr) {
    return std::nullopt;
  }
  const std::string& text = response->body;
  return host_usage{process_->ProcessorSeconds(),
                    MetricOf(text, "peer_bytes_sent_total"),
                    MetricOf(text, "peer_bytes_received_total"),
                    MetricOf(text, "peer_frames_sent_total") +
                        MetricOf(text, "peer_frames_received_total")};
}

}  // namespace bulrushshore

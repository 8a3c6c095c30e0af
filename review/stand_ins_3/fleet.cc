#include "review/stand_ins_3/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <nlohmann/json.hpp>

#include "platform/names.h"
#include "review/stand_ins_3/text_template.h"

namespace bulrushshore::review {
namespace {

constexpr std::chrono::milliseconds kStep{20};
// Traffic starts 8 s after the hosts do.
constexpr std::chrono::milliseconds kLeadTime{8000};
constexpr std::chrono::milliseconds kReadyLimit{10'000};
constexpr std::chrono::milliseconds kEndLimit{8000};
// A process that has ended is restarted after a short delay.
constexpr std::chrono::milliseconds kRestartDelay{500};

std::string VersionText(int version) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08x", version);
  return text.data();
}

// Addresses of the loopback network that other runs hardly use.
std::string HostAddress(std::size_t index) {
  constexpr int kValues = 200;
  const int process = ::getpid();
  return "127." + std::to_string(20 + process / kValues % kValues) + "." +
         std::to_string(20 + process % kValues) + "." +
         std::to_string(index + 1);
}

}  // namespace

fleet::fleet(const fleet_options& options)
    : options_(options),
      random_(seeded_random::FromSystemEntropy()),
      record_(options.record_path, time_),
      store_(loop_),
      relay_(loop_, store_.address()) {
  for (std::size_t index = 0; index < options.hosts; ++index) {
    hosts_.push_back(std::make_unique<edge_process>(
        edge_process::settings{options.program, options.templates,
                               options.work_folder,
                               "front-" + std::to_string(index),
                               HostAddress(index), relay_.address()},
        time_));
  }
}

fleet::~fleet() {
  StopClients();
}

void fleet::Start() {
  for (const std::unique_ptr<edge_process>& host : hosts_) {
    host->Start(true);
  }
  Run(kLeadTime);
  if (!RunUntil([this] { return IsEveryHostReady(); }, kReadyLimit)) {
    std::cerr << "the hosts do not become ready\n";
    std::exit(2);
  }
}

bool fleet::IsEveryHostReady() {
  return std::all_of(hosts_.begin(), hosts_.end(),
                     [this](const std::unique_ptr<edge_process>& host) {
                       return !host->HasEnded() &&
                              store_.Has(platform_names::kHostKind,
                                         host->node());
                     });
}

void fleet::Run(std::chrono::milliseconds time) {
  loop_.run_for(time);
}

bool fleet::RunUntil(const std::function<bool()>& is_done,
                     std::chrono::milliseconds limit) {
  const time_point end = Now() + limit;
  while (!is_done()) {
    if (Now() >= end) {
      return false;
    }
    Run(kStep);
  }
  return true;
}

void fleet::WriteConfiguration(const std::string& pay_service) {
  const int base = version_;
  // Versions increase in uneven steps.
  version_ += 1 + static_cast<int>(random_.Uniform(3));
  store_.Put(platform_names::kConfigurationKind,
             platform_names::kConfigurationName,
             nlohmann::json::parse(
                 FillTemplate(options_.templates + "/configuration.json",
                              {{"VERSION", VersionText(version_)},
                               {"BASE_VERSION", VersionText(base)},
                               {"READ_SERVICE", "readings"},
                               {"PAY_SERVICE", pay_service}})));
  record_.Note("store acknowledges version " + VersionText(version_) +
               ": payments are run by " + pay_service);
}

upstream& fleet::AddUpstream(const std::string& id,
                             const std::string& service,
                             std::chrono::milliseconds work) {
  upstreams_.push_back(std::make_unique<upstream>(
      upstream::environment{loop_, store_, record_, time_, options_.templates},
      id, service, work));
  return *upstreams_.back();
}

client& fleet::AddClient(const client::plan& plan) {
  clients_.push_back(std::make_unique<client>(
      client::environment{loop_, hosts_, record_, random_, time_},
      "c" + std::to_string(clients_.size()), plan));
  clients_.back()->Start();
  return *clients_.back();
}

void fleet::StopClients() {
  for (const std::unique_ptr<client>& entry : clients_) {
    entry->Stop();
  }
}

void fleet::Restart(std::size_t host, int signal_number) {
  edge_process& restarted = *hosts_[host];
  record_.Note("signal " + std::to_string(signal_number) + " to host " +
               std::to_string(host));
  restarted.Signal(signal_number);
  if (!RunUntil([&restarted] { return restarted.HasEnded(); }, kEndLimit)) {
    restarted.Signal(SIGKILL);
    Run(kStep);
  }
  Run(kRestartDelay);
  restarted.Start(false);
  record_.Note("host " + std::to_string(host) + " starts");
}

}  // namespace bulrushshore::review

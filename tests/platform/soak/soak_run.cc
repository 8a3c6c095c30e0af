#include "tests/platform/soak/soak_run.h"

#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <csignal>
#include <iostream>

#include <nlohmann/json.hpp>

#include "platform/names.h"
#include "tests/platform/odd_values.h"

namespace bulrushshore {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kZones = 3;
constexpr std::size_t kServices = 2;
constexpr seconds kStartTime{4};
// After the last fault the system has this time to recover, and the callers go
// on for the measured time.
constexpr seconds kRecoveryTime{10};
constexpr seconds kMeasuredTime{4};
constexpr double kServedAfterRecovery = 0.97;

// A host that was disturbed meets its time bounds again after this.
constexpr seconds kStableWindow{3};
// 2 s for a configuration, the rest for the scheduling of this machine.
constexpr milliseconds kApplyBound{2500};
constexpr milliseconds kStopBound{7000};
constexpr milliseconds kPollInterval{50};
constexpr milliseconds kCrashInterval{400};

constexpr std::uint64_t kFaultGapMs = 900;
constexpr std::uint64_t kMinFaultMs = 300;
constexpr std::uint64_t kFaultSpreadMs = 3500;

std::string Service(std::size_t index) {
  return "service-" + std::to_string(index % kServices);
}

std::string Zone(std::size_t index) {
  return std::string(1, static_cast<char>('a' + index % kZones));
}

// Processes of different runs get different networks of the loopback interface.
std::string HostIp(std::size_t index) {
  constexpr int kByte = 256;
  const int process = ::getpid();
  return "127." + std::to_string(1 + process / kByte % (kByte - 2)) + "." +
         std::to_string(process % kByte) + "." + std::to_string(index + 1);
}

}  // namespace

soak_run::soak_run(const soak_plan& plan)
    : plan_(plan),
      random_(plan.seed),
      store_(loop_),
      store_link_(store_.address()) {
  const result<std::uint16_t> port = store_link_.Start(0);
  assert(IsOk(port));
  store_address_ = {"127.0.0.1", ValueOf(port)};
}

bool soak_run::Play() {
  WriteConfiguration();
  for (std::size_t index = 0; index < plan_.targets; ++index) {
    AddTarget();
  }
  for (std::size_t index = 0; index < plan_.hosts; ++index) {
    hosts_.push_back(std::make_unique<soak_host>(
        soak_host::settings{plan_.program, plan_.work_folder,
                            "host-" + std::to_string(index), Zone(index),
                            HostIp(index), store_address_},
        time_));
    hosts_.back()->Start();
  }
  disturbed_until_ = time_.Now();
  CheckHosts();
  loop_.run_for(kStartTime);
  for (std::size_t index = 0; index < plan_.callers; ++index) {
    callers_.push_back(
        std::make_unique<soak_caller>(loop_, *this, ledger_, random_, time_));
    callers_.back()->Start();
  }
  ScheduleFaults();
  SendCrashingRequest();
  loop_.run_for(plan_.length);
  is_ending_ = true;
  loop_.run_for(milliseconds(kMinFaultMs + kFaultSpreadMs) + kRecoveryTime);
  const std::uint64_t served = ledger_.Count("status 200");
  const std::uint64_t made = requests_made_;
  loop_.run_for(kMeasuredTime);
  CheckRecovery(ledger_.Count("status 200") - served, requests_made_ - made);
  for (const std::unique_ptr<soak_caller>& caller : callers_) {
    caller->Stop();
  }
  loop_.run_for(seconds(1));
  ledger_.CheckAtEnd();
  Report();
  return ledger_.violations().empty();
}

soak_request soak_run::MakeRequest() {
  soak_request request;
  request.id =
      std::to_string(plan_.seed) + "-" + std::to_string(++requests_made_);
  request.is_idempotent = random_.Uniform(2) == 0;
  // Mostly a route that all versions have, now and then a newer one.
  request.route_version =
      random_.Uniform(4) == 0 ? 1 + random_.Uniform(version_) : 1;
  request.sent = time_.Now();
  request.deadline = milliseconds(1000 + random_.Uniform(2000));
  ledger_.OnRequest(Service(request.route_version), request.sent);
  return request;
}

soak_moment soak_run::MomentOf(const soak_request& request) {
  const soak_host& host = *hosts_[request.host];
  const time_point written = version_written_[request.route_version - 1];
  soak_moment moment;
  moment.is_host_undisturbed = host.IsUndisturbedSince(request.sent) &&
                               host.starts() == request.host_start;
  const time_point calm_since = request.sent - kApplyBound - kStableWindow;
  moment.is_route_in_force = request.sent - written > kApplyBound &&
                             disturbed_until_ < calm_since &&
                             host.IsUndisturbedSince(calm_since);
  return moment;
}

// Each version adds routes of its own and keeps those of the earlier ones.
void soak_run::WriteConfiguration() {
  ++version_;
  version_written_.push_back(time_.Now());
  json routes = json::object();
  for (std::uint64_t version = 1; version <= version_; ++version) {
    const std::string number = std::to_string(version);
    for (const char* kind : {"read", "pay"}) {
      routes[kind + number] = {
          {"host", "soak.example"},
          {"path-prefix", "/" + (kind + number) + "/"},
          {"kind", std::string(kind) == "read" ? "safe" : "unsafe"},
          {"max-attempts", 3},
          {"timeout-ms", 2000},
          {"target-latency-ms", 300},
          {"service", Service(version)}};
    }
  }
  constexpr std::size_t kDigits = 16;
  constexpr std::size_t kVersionDigits = 8;
  store_.Put(platform_names::kConfigurationKind,
             platform_names::kConfigurationName,
             {{"version", FormatHex(version_).substr(kDigits - kVersionDigits)},
              {"routes", routes},
              {"services", json::object()},
              {"limits", {{"idle-timeout-ms", 4000}}}});
}

void soak_run::AddTarget() {
  const std::size_t index = targets_made_++;
  targets_.push_back(std::make_unique<soak_target>(
      soak_target::environment{loop_, store_, ledger_, random_, time_},
      "target-" + std::to_string(index), Service(index),
      Zone(index / kServices)));
}

void soak_run::After(milliseconds delay, action then) {
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(loop_, delay);
  timer->async_wait([timer, then = std::move(then)](const socket_error& error) {
    if (!error) {
      then();
    }
  });
}

void soak_run::ScheduleFaults() {
  if (is_ending_) {
    return;
  }
  InjectFault();
  After(milliseconds(random_.Uniform(kFaultGapMs)),
        [this] { ScheduleFaults(); });
}

void soak_run::NoteFault(const std::string& name, milliseconds length) {
  faults_.push_back(name);
  disturbed_until_ = std::max(disturbed_until_, time_.Now() + length);
  UpdateCalm();
}

void soak_run::InjectFault() {
  constexpr std::uint64_t kKinds = 10;
  const milliseconds length(kMinFaultMs + random_.Uniform(kFaultSpreadMs));
  const std::uint64_t kind = random_.Uniform(kKinds);
  if (kind < 3) {
    soak_host& host = *hosts_[random_.Uniform(hosts_.size())];
    if (!host.is_ending) {
      InjectHostFault(host, length);
    }
  } else if (kind < 6) {
    InjectTargetFault(length);
  } else if (kind < 8) {
    InjectStoreFault(length);
  } else if (kind == 8) {
    ReplaceTarget();
  } else {
    faults_.emplace_back("configuration");
    WriteConfiguration();
  }
}

void soak_run::InjectHostFault(soak_host& host, milliseconds length) {
  const std::uint64_t kind = random_.Uniform(4);
  if (kind == 0) {
    NoteFault(host.id() + " killed", length);
    host.Disturb();
    host.is_ending = true;
    host.Signal(SIGKILL);
    RestartWhenEnded(host, false, time_.Now());
  } else if (kind == 1) {
    NoteFault(host.id() + " stopped", kStopBound);
    host.is_ending = true;
    host.Signal(SIGTERM);
    RestartWhenEnded(host, host.HasBegun(), time_.Now());
  } else if (kind == 2) {
    NoteFault(host.id() + " paused", length);
    host.Disturb();
    host.is_ending = true;
    host.Signal(SIGSTOP);
    After(length, [&host] {
      host.Signal(SIGCONT);
      host.Disturb();
      host.is_ending = false;
    });
  } else if (host.HasBegun()) {
    NoteFault(host.id() + " hup", milliseconds(0));
    host.Signal(SIGHUP);
  }
}

void soak_run::RestartWhenEnded(soak_host& host,
                                bool must_end_in_order,
                                time_point since) {
  if (!host.HasEnded()) {
    if (time_.Now() - since > kStopBound) {
      ledger_.Violate("stop", host.id() + " did not end in time");
      host.Disturb();
      host.Signal(SIGKILL);
      must_end_in_order = false;
    }
    After(kPollInterval, [this, &host, must_end_in_order, since] {
      RestartWhenEnded(host, must_end_in_order, since);
    });
    return;
  }
  if (must_end_in_order && host.exit_code() != 0) {
    ledger_.Violate("stop", host.id() + " ended with code " +
                                std::to_string(host.exit_code()));
  }
  host.Start();
  disturbed_until_ = std::max(disturbed_until_, time_.Now());
}

void soak_run::InjectTargetFault(milliseconds length) {
  constexpr std::uint64_t kTargetFaults = 9;
  constexpr std::uint64_t kLinkFaults = 3;
  const std::size_t index = random_.Uniform(targets_.size());
  soak_target* const target = targets_[index].get();
  const std::uint64_t kind = random_.Uniform(kTargetFaults + kLinkFaults);
  NoteFault("target fault " + std::to_string(kind), length);
  if (kind < kTargetFaults) {
    target->SetFault(static_cast<target_fault>(kind + 1));
    After(length, [target] { target->SetFault(target_fault::kNone); });
    return;
  }
  constexpr std::array kModes = {link_mode::kCutToServer,
                                 link_mode::kCutToClient, link_mode::kSilent};
  target->SetLink(kModes[kind - kTargetFaults]);
  After(length, [target] { target->SetLink(link_mode::kPass); });
}

void soak_run::InjectStoreFault(milliseconds length) {
  constexpr std::uint64_t kStoreFaults = 8;
  const std::uint64_t kind = random_.Uniform(kStoreFaults);
  NoteFault("store fault " + std::to_string(kind), length);
  if (kind == kStoreFaults - 2) {
    AddOddObject(platform_names::kTargetKind, length);
  } else if (kind == kStoreFaults - 1) {
    AddOddObject(platform_names::kHostKind, length);
  } else if (kind == 0) {
    store_.SetOutage(true);
    After(length, [this] { store_.SetOutage(false); });
  } else if (kind == 1) {
    store_.SilenceWatches();
  } else if (kind == 2) {
    store_.DropHistory();
  } else {
    constexpr std::array kModes = {link_mode::kCutToServer,
                                   link_mode::kCutToClient, link_mode::kSilent};
    store_link_.SetMode(kModes[kind - 3]);
    After(length, [this] { store_link_.SetMode(link_mode::kPass); });
  }
}

void soak_run::AddOddObject(std::string_view kind, milliseconds length) {
  const std::vector<odd_value> values = OddValues();
  const std::string name = "odd-" + std::to_string(faults_.size());
  store_.SetRawText("@" + name + "@",
                    values[random_.Uniform(values.size())].text);
  store_.Put(kind, name, {{"service", Service(0)}, {"zone", "@" + name + "@"}});
  After(length, [this, kind, name] { store_.Remove(kind, name); });
}

void soak_run::SendCrashingRequest() {
  if (is_ending_) {
    return;
  }
  const std::size_t index = random_.Uniform(hosts_.size());
  const soak_host& host = *hosts_[index];
  const std::string id =
      std::to_string(plan_.seed) + "-crash-" + std::to_string(++requests_made_);
  proxy_request sent{"POST", "/pay1/" + std::string(kCrashingName), {}, "same"};
  sent.headers.Add("Host", "soak.example");
  sent.headers.Add(platform_names::kAttemptIdHeader, id);
  sent.headers.Add(platform_names::kDeadlineHeader, "2000");
  ledger_.OnCrashingRequest(
      id, host.IsUndisturbedSince(time_.Now() - kStableWindow));
  const std::shared_ptr<http_connection> connection =
      std::make_shared<http_connection>(loop_, host.caller_address(),
                                        http_connection::options{});
  connection->Exchange(
      sent, [](const proxy_response&) { return true; },
      [connection](const exchange_outcome&) { connection->Close(); });
  After(kCrashInterval, [this] { SendCrashingRequest(); });
}

// A target says that it leaves and another one joins; some leave unannounced.
void soak_run::ReplaceTarget() {
  faults_.emplace_back("target replaced");
  const std::size_t index = random_.Uniform(targets_.size());
  soak_target* const leaving = targets_[index].get();
  AddTarget();
  if (random_.Uniform(3) == 0) {
    leaving->Leave();
    return;
  }
  leaving->Drain();
  After(seconds(3), [leaving] { leaving->Leave(); });
}

void soak_run::CheckHosts() {
  for (const std::unique_ptr<soak_host>& host : hosts_) {
    if (!host->is_ending && host->HasEnded()) {
      ledger_.Violate("host", host->id() + " ended by itself with code " +
                                  std::to_string(host->exit_code()));
      host->Start();
    }
  }
  UpdateCalm();
  After(kPollInterval, [this] { CheckHosts(); });
}

void soak_run::UpdateCalm() {
  const bool is_calm = time_.Now() > disturbed_until_ + kStableWindow;
  for (const std::unique_ptr<soak_target>& target : targets_) {
    target->SetCalm(is_calm);
  }
}

void soak_run::CheckRecovery(std::uint64_t served, std::uint64_t ended) {
  const double share =
      ended == 0 ? 0.0
                 : static_cast<double>(served) / static_cast<double>(ended);
  std::cout << "served after recovery " << served << " of " << ended << "\n";
  if (share < kServedAfterRecovery) {
    ledger_.Violate("recovery", std::to_string(share) + " were served");
  }
}

void soak_run::Report() const {
  std::cout << "seed " << plan_.seed << ", faults:";
  for (const std::string& fault : faults_) {
    std::cout << " [" << fault << "]";
  }
  std::cout << "\n";
  for (const std::map<std::string, std::uint64_t>::value_type& entry :
       ledger_.counts()) {
    std::cout << entry.first << " " << entry.second << "\n";
  }
  for (const std::string& violation : ledger_.violations()) {
    std::cout << "VIOLATION " << violation << "\n";
  }
}

}  // namespace bulrushshore

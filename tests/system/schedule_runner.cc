#include "tests/system/schedule_runner.h"

#include <csignal>
#include <thread>
#include <utility>

#include "libraries/history/history_event.h"
#include "libraries/telemetry/audit.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::milliseconds kTick(5);
constexpr std::chrono::milliseconds kTargetRestartDelay(300);
constexpr std::chrono::seconds kCallerLimit(60);
constexpr std::chrono::seconds kKillLimit(10);
constexpr int kDuplicatesPerFault = 5;
constexpr std::size_t kCrashingSends = 4;
constexpr char kLoadSeconds[] = "7";

}  // namespace

schedule_runner::schedule_runner(process_fleet& fleet,
                                 const fault_schedule& schedule,
                                 std::uint64_t seed)
    : fleet_(fleet),
      schedule_(schedule),
      seed_(seed),
      start_(std::chrono::steady_clock::now()) {}

bool schedule_runner::Run() {
  result<std::unique_ptr<json_line_file>> opened =
      json_line_file::Open(fleet_.PathOf("stops.jsonl"));
  if (!IsOk(opened)) {
    return false;
  }
  stops_ = TakeValue(std::move(opened));
  StartLoad();
  for (const fault& value : schedule_) {
    At(value.at, [this, value] { Inject(value); });
  }
  RunTimeline();
  return AwaitCallers();
}

schedule_runner::milliseconds schedule_runner::Now() const {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - start_);
}

void schedule_runner::At(milliseconds time, std::function<void()> action) {
  timeline_.emplace(time, std::move(action));
}

void schedule_runner::RunTimeline() {
  while (!timeline_.empty() || !callers_.front()->HasEnded()) {
    RestartEndedTargets();
    const auto next = timeline_.begin();
    if (next == timeline_.end() || next->first > Now()) {
      std::this_thread::sleep_for(kTick);
      continue;
    }
    const std::function<void()> action = std::move(next->second);
    timeline_.erase(next);
    action();
  }
}

void schedule_runner::StartLoad() {
  const std::string mix =
      "certificates:issue:/issue/1:40:keyed,"
      "certificates:lookup:/lookup/1:40:idempotent,"
      "certificates:remark:/remark/1:20:once";
  callers_.push_back(fleet_.StartCaller(
      {"--hosts=" + fleet_.HostAddresses(), "--spread=3", "--rate=100",
       std::string("--seconds=") + kLoadSeconds, "--poisson",
       "--organisations=5", "--seed=" + std::to_string(seed_ + 1),
       "--timeout_ms=3000", "--mix=" + mix}));
}

void schedule_runner::Inject(const fault& value) {
  bool has_effect = false;
  switch (value.kind) {
    case fault_kind::kHostCrash:
    case fault_kind::kHostStop:
    case fault_kind::kHostPause:
      has_effect = InjectHostFault(value);
      break;
    case fault_kind::kStoreOutage:
    case fault_kind::kStoreSlow:
    case fault_kind::kStoreLostReplies:
      has_effect = InjectStoreFault(value);
      break;
    case fault_kind::kTargetGray:
    case fault_kind::kTargetTruncating:
    case fault_kind::kTargetHanging:
    case fault_kind::kTargetCrash:
    case fault_kind::kTargetSilent:
      has_effect = InjectTargetFault(value);
      break;
    case fault_kind::kLinkCutToServer:
    case fault_kind::kLinkCutToClient:
    case fault_kind::kLinkSilent:
      has_effect = InjectLinkFault(value);
      break;
    case fault_kind::kDuplicateKey:
    case fault_kind::kDuplicateForeignKey:
    case fault_kind::kCrashingRequest:
      has_effect = InjectRequests(value);
      break;
  }
  injected_[std::string(FaultKindName(value.kind))] += has_effect ? 1 : 0;
}

bool schedule_runner::InjectHostFault(const fault& value) {
  const std::size_t index = value.subject % process_fleet::kHosts;
  if (hosts_[index].is_down) {
    return false;
  }
  switch (value.kind) {
    case fault_kind::kHostCrash:
      return CrashHost(index, value.length);
    case fault_kind::kHostStop:
      return StopHost(index, value.length);
    default:
      return PauseHost(index, value.length);
  }
}

bool schedule_runner::PauseHost(std::size_t index, milliseconds length) {
  fleet_.host(index).Signal(SIGSTOP);
  At(Now() + length, [this, index, paused = hosts_[index].generation] {
    if (hosts_[index].generation == paused) {
      fleet_.host(index).Signal(SIGCONT);
    }
  });
  return true;
}

bool schedule_runner::CrashHost(std::size_t index, milliseconds downtime) {
  hosts_[index].is_down = true;
  fleet_.host(index).Signal(SIGKILL);
  fleet_.host(index).WaitForEnd(kKillLimit);
  At(Now() + downtime, [this, index] { ReplaceHost(index); });
  return true;
}

bool schedule_runner::StopHost(std::size_t index, milliseconds downtime) {
  hosts_[index].is_down = true;
  const std::int64_t begin_ms = CurrentUnixTimeMs();
  fleet_.host(index).Signal(SIGTERM);
  AwaitHostStop(index, begin_ms, downtime);
  return true;
}

void schedule_runner::AwaitHostStop(std::size_t index,
                                    std::int64_t begin_ms,
                                    milliseconds downtime) {
  if (!fleet_.host(index).HasEnded()) {
    At(Now() + kTick, [this, index, begin_ms, downtime] {
      AwaitHostStop(index, begin_ms, downtime);
    });
    return;
  }
  stops_->Append(ToJson(host_stop_event{"host-" + std::to_string(index),
                                        begin_ms, CurrentUnixTimeMs()}));
  At(Now() + downtime, [this, index] { ReplaceHost(index); });
}

void schedule_runner::ReplaceHost(std::size_t index) {
  fleet_.StartHost(index);
  ++hosts_[index].generation;
  hosts_[index].is_down = false;
}

bool schedule_runner::InjectStoreFault(const fault& value) {
  std::pair<std::string, std::string> commands;
  switch (value.kind) {
    case fault_kind::kStoreOutage:
      commands = {"outage?on=true", "outage?on=false"};
      break;
    case fault_kind::kStoreSlow:
      commands = {"delay?ms=400", "delay?ms=0"};
      break;
    default:
      commands = {"lost_replies?count=1000000", "lost_replies?count=0"};
      break;
  }
  At(Now() + value.length,
     [this, end = commands.second] { fleet_.ControlStore(end); });
  return fleet_.ControlStore(commands.first);
}

bool schedule_runner::InjectTargetFault(const fault& value) {
  const std::size_t index = value.subject % process_fleet::kTargets;
  if (is_restart_planned_[index]) {
    return false;
  }
  switch (value.kind) {
    case fault_kind::kTargetGray:
      return ChangeTargetMode(index, "gray&fail_share=0.4", value.length);
    case fault_kind::kTargetHanging:
      return ChangeTargetMode(index, "gray&fail_share=0&hang_share=0.5",
                              value.length);
    case fault_kind::kTargetTruncating:
      return ChangeTargetMode(index, "truncating&truncate_share=0.5",
                              value.length);
    case fault_kind::kTargetSilent:
      return ChangeTargetMode(index, "freezing", value.length);
    default:
      fleet_.target(index).Signal(SIGKILL);
      return true;
  }
}

bool schedule_runner::ChangeTargetMode(std::size_t index,
                                       const std::string& mode,
                                       milliseconds length) {
  At(Now() + length, [this, index] { fleet_.SetTargetMode(index, "healthy"); });
  return fleet_.SetTargetMode(index, mode);
}

void schedule_runner::RestartEndedTargets() {
  for (std::size_t index = 0; index < process_fleet::kTargets; ++index) {
    if (is_restart_planned_[index] || !fleet_.target(index).HasEnded()) {
      continue;
    }
    is_restart_planned_[index] = true;
    At(Now() + kTargetRestartDelay, [this, index] {
      fleet_.StartTarget(index);
      is_restart_planned_[index] = false;
    });
  }
}

bool schedule_runner::InjectLinkFault(const fault& value) {
  const std::size_t index = value.subject % process_fleet::kLinks;
  std::string mode = "silent";
  if (value.kind == fault_kind::kLinkCutToServer) {
    mode = "cut-to-server";
  } else if (value.kind == fault_kind::kLinkCutToClient) {
    mode = "cut-to-client";
  }
  At(Now() + value.length,
     [this, index] { fleet_.SetLinkMode(index, "pass"); });
  return fleet_.SetLinkMode(index, mode);
}

bool schedule_runner::InjectRequests(const fault& value) {
  const std::size_t host = value.subject % process_fleet::kHosts;
  if (value.kind == fault_kind::kCrashingRequest) {
    SendCrashingRequest(host, kCrashingSends);
    return true;
  }
  const bool has_foreign_key = value.kind == fault_kind::kDuplicateForeignKey;
  for (int count = 0; count < kDuplicatesPerFault; ++count) {
    At(Now() + value.length * count / kDuplicatesPerFault,
       [this, host, has_foreign_key] { SendDuplicate(host, has_foreign_key); });
  }
  return true;
}

void schedule_runner::SendDuplicate(std::size_t first_host,
                                    bool has_foreign_key) {
  const std::uint64_t number = duplicates_++;
  std::string key = "order-" + std::to_string(number);
  if (!has_foreign_key) {
    const std::size_t owner = number % process_fleet::kHosts;
    const std::optional<std::string> prefix =
        hosts_[owner].is_down ? std::nullopt : fleet_.KeyPrefix(owner);
    if (!prefix) {
      return;
    }
    key = *prefix + ".duplicate-" + std::to_string(number);
  }
  for (std::size_t offset = 0; offset < 2; ++offset) {
    const std::size_t host = (first_host + offset) % process_fleet::kHosts;
    callers_.push_back(fleet_.StartCaller(
        {"--direct=" + fleet_.HostAddress(host), "--service=certificates",
         "--path=/issue/duplicate", "--kind=issue", "--repeat=keyed",
         "--key=" + key, "--body=order " + std::to_string(number),
         "--timeout_ms=3000"}));
  }
}

void schedule_runner::SendCrashingRequest(std::size_t host,
                                          std::size_t sends_left) {
  callers_.push_back(fleet_.StartCaller(
      {"--direct=" + fleet_.HostAddress(host % process_fleet::kHosts),
       "--service=certificates", "--path=/lookup/crashing",
       "--kind=" + std::string(kCrashingKind), "--header=X-Work-Crash:1",
       "--max_attempts=1", "--timeout_ms=2000"}));
  if (sends_left > 1) {
    AwaitCrashingRequest(*callers_.back(), host, sends_left);
  }
}

void schedule_runner::AwaitCrashingRequest(child_process& sent,
                                           std::size_t host,
                                           std::size_t sends_left) {
  At(Now() + kTick, [this, &sent, host, sends_left] {
    if (sent.HasEnded()) {
      SendCrashingRequest(host + 1, sends_left - 1);
    } else {
      AwaitCrashingRequest(sent, host, sends_left);
    }
  });
}

bool schedule_runner::AwaitCallers() {
  bool have_ended = true;
  for (const std::unique_ptr<child_process>& caller : callers_) {
    have_ended = caller->WaitForEnd(kCallerLimit) && have_ended;
  }
  return have_ended;
}

}  // namespace bulrushshore

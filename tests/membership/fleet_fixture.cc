#include "tests/membership/fleet_fixture.h"

#include <utility>

namespace bulrushshore {
namespace {

constexpr std::uint16_t kCallerPortBase = 10'000;
constexpr std::uint16_t kPeerPortBase = 20'000;
constexpr std::chrono::milliseconds kStep(100);

caf::scheduler::test_coordinator& Scheduler(caf::actor_system& system) {
  return dynamic_cast<caf::scheduler::test_coordinator&>(system.scheduler());
}

}  // namespace

endpoint TestPeerAddress(std::size_t index) {
  return {"127.0.0.1", static_cast<std::uint16_t>(kPeerPortBase + index)};
}

host_record TestRecord(std::size_t index, std::uint64_t incarnation) {
  host_record record;
  record.id = "host-" + std::to_string(index);
  record.zone = std::string(1, static_cast<char>('a' + index % 3));
  record.caller_address = {"127.0.0.1",
                           static_cast<std::uint16_t>(kCallerPortBase + index)};
  record.peer_address = TestPeerAddress(index);
  record.incarnation = FormatHex(incarnation);
  record.sequence = 1;
  return record;
}

test_fleet::test_fleet() {
  config_.set("scheduler.policy", caf::atom("testing"));
  system_ = std::make_unique<caf::actor_system>(config_);
  clock_ = std::make_unique<runtime_clock>(system_->clock());
}

test_fleet::~test_fleet() {
  for (const std::unique_ptr<host>& running : hosts_) {
    if (running != nullptr) {
      running->messenger->Stop();
      running->agent->Stop();
    }
  }
  Scheduler(*system_).run();
}

void test_fleet::Start(std::size_t count, membership_options options) {
  for (std::size_t index = 0; index < count; ++index) {
    StartHost(index, options);
  }
}

void test_fleet::StartHost(std::size_t index, membership_options options) {
  if (hosts_.size() <= index) {
    hosts_.resize(index + 1);
  }
  const host_record record = TestRecord(index, next_incarnation_++);
  std::unique_ptr<host> started = std::make_unique<host>();
  options.seeds = {TestPeerAddress(0)};
  registries_.push_back(std::make_unique<metric_registry>());
  metric_registry& metrics = *registries_.back();
  started->transport = network_.Attach(record.id, record.peer_address);
  started->messenger = std::make_shared<peer_messenger>(
      record.id, *started->transport, *clock_, metrics);
  started->agent = std::make_unique<membership_agent>(
      membership_agent::dependencies{*system_, started->messenger, metrics,
                                     audit_},
      options, record, next_incarnation_);
  static_cast<void>(started->messenger->Start());
  started->agent->Start();
  hosts_[index] = std::move(started);
}

void test_fleet::StopHost(std::size_t index) {
  hosts_[index]->messenger->Stop();
  hosts_[index]->agent->Stop();
  Scheduler(*system_).run();
  hosts_[index] = nullptr;
}

duration test_fleet::Run(duration limit, const std::function<bool()>& until) {
  duration passed = duration::zero();
  Settle();
  while (passed < limit && !until()) {
    Scheduler(*system_).advance_time(kStep);
    passed += kStep;
    Settle();
  }
  return passed;
}

void test_fleet::Settle() {
  do {
    Scheduler(*system_).run();
  } while (network_.DeliverWaiting() > 0);
}

void test_fleet::Pause(std::size_t index) {
  network_.Isolate(TestPeerAddress(index));
}

void test_fleet::Resume(std::size_t index) {
  network_.Reconnect(TestPeerAddress(index));
}

host_state test_fleet::StateOf(std::size_t observer,
                               std::size_t subject) const {
  const std::shared_ptr<const membership_snapshot> snapshot =
      hosts_[observer]->agent->Snapshot();
  const std::string id = "host-" + std::to_string(subject);
  for (const host_record& record : snapshot->hosts) {
    if (record.id == id) {
      return record.state;
    }
  }
  return host_state::kLost;
}

bool test_fleet::IsConverged() const {
  for (std::size_t observer = 0; observer < hosts_.size(); ++observer) {
    if (!IsRunning(observer)) {
      continue;
    }
    std::size_t live = 0;
    const std::shared_ptr<const membership_snapshot> snapshot =
        hosts_[observer]->agent->Snapshot();
    for (const host_record& record : snapshot->hosts) {
      live += record.state == host_state::kLive ? 1U : 0U;
    }
    std::size_t running = 0;
    for (std::size_t subject = 0; subject < hosts_.size(); ++subject) {
      running += IsRunning(subject) ? 1U : 0U;
    }
    if (live != running) {
      return false;
    }
  }
  return true;
}

}  // namespace bulrushshore

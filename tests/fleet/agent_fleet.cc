#include "tests/fleet/agent_fleet.h"

#include <utility>

#include <gtest/gtest.h>

#include "libraries/base/random_source.h"
#include "libraries/store/catalog_publisher.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

constexpr std::uint16_t kCallerPortBase = 10'000;
constexpr std::uint16_t kPeerPortBase = 20'000;
constexpr std::chrono::milliseconds kStep(100);

caf::scheduler::test_coordinator& Scheduler(caf::actor_system& system) {
  return dynamic_cast<caf::scheduler::test_coordinator&>(system.scheduler());
}

}  // namespace

void queued_executor::RunWaiting() {
  std::deque<std::function<void()>> tasks;
  tasks.swap(tasks_);
  for (const std::function<void()>& task : tasks) {
    task();
  }
}

endpoint agent_fleet::PeerAddress(std::size_t index) {
  return {"127.0.0.1", static_cast<std::uint16_t>(kPeerPortBase + index)};
}

agent_fleet::agent_fleet() {
  config_.set("scheduler.policy", caf::atom("testing"));
  system_ = std::make_unique<caf::actor_system>(config_);
}

agent_fleet::~agent_fleet() {
  for (const std::unique_ptr<host>& running : hosts_) {
    running->agent = nullptr;
  }
  Scheduler(*system_).run();
  system_ = nullptr;
}

void agent_fleet::StartHost(std::size_t index,
                            object_store* store,
                            configuration_options configuration) {
  if (hosts_.size() <= index) {
    hosts_.resize(index + 1);
  }
  std::unique_ptr<host> started = std::make_unique<host>();
  host* const self = started.get();
  fleet_options options;
  options.id = "host-" + std::to_string(index);
  options.zone = std::string(1, static_cast<char>('a' + index % 3));
  options.caller_address = {
      "127.0.0.1", static_cast<std::uint16_t>(kCallerPortBase + index)};
  options.peer_address = PeerAddress(index);
  options.incarnation = FormatHex(next_incarnation_++);
  options.seeds = {PeerAddress(0)};
  options.waits_for_actors = false;
  options.configuration = configuration;
  options.configuration.watch_time = std::chrono::milliseconds(0);
  options.on_snapshot =
      [self](const std::shared_ptr<const catalog_snapshot>& snapshot) {
        self->versions.push_back(snapshot->version);
      };
  options.on_crash_report = [self](const crash_report_message& report) {
    self->crash_reports.push_back(report);
  };
  options.import_keys =
      [self](const std::vector<std::string>& parts) -> status {
    if (self->refuses_imports) {
      return error{error_code::kUnavailable, "sealed"};
    }
    self->imported.push_back(parts);
    return OkStatus();
  };
  started->agent = std::make_unique<fleet_agent>(
      fleet_agent::dependencies{*system_, store == nullptr ? store_ : *store,
                                *started->metrics, audit_},
      options,
      fleet_agent::replacements{
          network_.Attach(options.id, options.peer_address), started->executor,
          started->executor});
  static_cast<void>(started->agent->Start());
  hosts_[index] = std::move(started);
}

void agent_fleet::StopHost(std::size_t index) {
  hosts_[index]->agent = nullptr;
  Scheduler(*system_).run();
  stopped_.push_back(std::move(hosts_[index]));
  hosts_[index] = std::make_unique<host>();
}

duration agent_fleet::Run(duration limit, const std::function<bool()>& until) {
  duration passed = duration::zero();
  Settle();
  while (passed < limit && !until()) {
    Scheduler(*system_).advance_time(kStep);
    passed += kStep;
    Settle();
  }
  return passed;
}

void agent_fleet::Settle() {
  for (const std::unique_ptr<host>& running : hosts_) {
    if (!running->is_store_paused) {
      running->executor->RunWaiting();
    }
  }
  do {
    Scheduler(*system_).run();
  } while (network_.DeliverWaiting() > 0);
}

void agent_fleet::Publish(const std::string& name, std::uint64_t base) {
  const publish_outcome outcome = catalog_publisher(store_).Publish(
      NoteText("add-" + name, base, ServiceSections(name)), 0);
  ASSERT_EQ(outcome.result, publish_result::kAccepted) << outcome.message;
}

std::uint64_t agent_fleet::VersionOf(std::size_t index) const {
  return hosts_[index]->agent->snapshots().Current()->version;
}

bool agent_fleet::AllHaveVersion(std::uint64_t version) const {
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    if (hosts_[index]->agent != nullptr && VersionOf(index) != version) {
      return false;
    }
  }
  return true;
}

std::uint64_t agent_fleet::CounterOf(std::size_t index,
                                     const std::string& name) {
  return hosts_[index]->metrics->GetCounter(name, "").value();
}

}  // namespace bulrushshore

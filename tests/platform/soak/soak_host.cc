#include "tests/platform/soak/soak_host.h"

#include <cassert>
#include <fstream>

namespace bulrushshore {
namespace {

// Each host has an address of its own, so that all may use the same ports.
constexpr std::uint16_t kCallerPort = 8641;
constexpr std::uint16_t kReadinessPort = 8640;
constexpr std::uint16_t kDiscoveryPort = 8644;

// Time to load a program built with sanitizers on a busy machine.
constexpr std::chrono::milliseconds kLoadTime{500};

}  // namespace

soak_host::soak_host(const settings& values, const clock& time)
    : settings_(values), time_(time) {
  WriteSettings();
}

void soak_host::Start() {
  assert(HasEnded());
  ++starts_;
  is_ending = false;
  started_at_ = time_.Now();
  Disturb();
  process_ = std::make_unique<child_process>(
      std::vector<std::string>{settings_.program,
                               "--settings=" + SettingsPath()},
      settings_.work_folder + "/" + settings_.id + ".log");
}

void soak_host::Signal(int signal_number) {
  if (process_ != nullptr) {
    process_->Signal(signal_number);
  }
}

bool soak_host::HasBegun() const {
  return time_.Now() - started_at_ > kLoadTime;
}

void soak_host::Disturb() {
  disturbed_at_ = time_.Now();
}

endpoint soak_host::caller_address() const {
  return {settings_.ip, kCallerPort};
}

endpoint soak_host::discovery_address() const {
  return {settings_.ip, kDiscoveryPort};
}

std::string soak_host::SettingsPath() const {
  return settings_.work_folder + "/" + settings_.id + ".conf";
}

void soak_host::WriteSettings() const {
  std::ofstream file(SettingsPath());
  file << "node=" << settings_.id << "\nzone=" << settings_.zone
       << "\nregion=r\n"
       << "listen.front=" << settings_.ip << ":" << kCallerPort << "\n"
       << "listen.ready=" << settings_.ip << ":" << kReadinessPort << "\n"
       << "listen.directory=" << settings_.ip << ":" << kDiscoveryPort << "\n"
       << "internal-port-range=7620,7635\n"
       << "platform.address=" << FormatEndpoint(settings_.store) << "\n"
       << "bounds=grace-s=6,ttl_max_s=5,retry-budget-ratio=0.2,"
          "retry-budget-slack=77,retry-window-s=10,floor-share=0.7\n";
}

}  // namespace bulrushshore

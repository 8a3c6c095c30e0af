#ifndef TESTS_PLATFORM_SOAK_SOAK_HOST_H_
#define TESTS_PLATFORM_SOAK_SOAK_HOST_H_

#include <cstdint>
#include <memory>
#include <string>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "tests/system/child_process.h"

namespace bulrushshore {

// A host of the soak: a real process on a loopback address of its own. Used by
// the thread that made it.
class soak_host {
 public:
  struct settings {
    std::string program;
    std::string work_folder;
    std::string id;
    std::string zone;
    std::string ip;
    endpoint store;
  };

  soak_host(const settings& values, const clock& time);

  // Starts the process. Precondition: it does not run.
  void Start();

  void Signal(int signal_number);

  // Returns true once the process has had time to reach its main(). Before that
  // SIGHUP and SIGTERM take their default action, which no program can change:
  // the process has accepted nothing and ends by the signal.
  bool HasBegun() const;

  // Notes that the host is disturbed from now on, or was until now.
  void Disturb();

  // Returns true if the process has ended.
  bool HasEnded() { return process_ == nullptr || process_->HasEnded(); }
  int exit_code() const { return process_ ? process_->exit_code() : -1; }

  bool IsUndisturbedSince(time_point since) const {
    return disturbed_at_ < since;
  }

  endpoint caller_address() const;
  endpoint discovery_address() const;
  std::uint32_t starts() const { return starts_; }
  const std::string& id() const { return settings_.id; }
  const std::string& zone() const { return settings_.zone; }

  // The process has been asked or forced to end.
  bool is_ending = false;

 private:
  void WriteSettings() const;
  std::string SettingsPath() const;

  settings settings_;
  const clock& time_;
  std::unique_ptr<child_process> process_;
  std::uint32_t starts_ = 0;
  time_point started_at_;
  time_point disturbed_at_;
};

}  // namespace bulrushshore

#endif  // TESTS_PLATFORM_SOAK_SOAK_HOST_H_

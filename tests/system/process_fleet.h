#ifndef TESTS_SYSTEM_PROCESS_FLEET_H_
#define TESTS_SYSTEM_PROCESS_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/system/child_process.h"

namespace bulrushshore {

// Hosts, targets, an object store and links as real processes on loopback:
// all hosts reach the object store, and some targets, through a link. Hosts
// reach each other directly, because a host listens on the peer address that
// it announces. Used by one thread.
class process_fleet {
 public:
  static constexpr std::size_t kHosts = 3;
  static constexpr std::size_t kTargets = 4;
  // The first links lead to the last targets, the last one to the store.
  static constexpr std::size_t kLinkedTargets = 2;
  static constexpr std::size_t kLinks = kLinkedTargets + 1;

  // Keeps settings, logs and histories in a new temporary folder.
  explicit process_fleet(std::uint64_t seed);
  // Kills all processes and removes the folder unless Keep() was called.
  ~process_fleet();

  process_fleet(const process_fleet&) = delete;
  process_fleet& operator=(const process_fleet&) = delete;

  // Starts all processes, publishes the services and waits until each host
  // serves. Returns false if that takes too long.
  bool Start();

  // Starts a process of a host or target that has none.
  void StartHost(std::size_t index);
  void StartTarget(std::size_t index);

  child_process& host(std::size_t index) { return *hosts_[index].process; }
  child_process& target(std::size_t index) { return *targets_[index].process; }

  std::string HostAddress(std::size_t index) const;
  // Addresses of all hosts, separated by commas.
  std::string HostAddresses() const;

  // Sends a command to an admin endpoint; false if it was not taken.
  bool SetTargetMode(std::size_t index, const std::string& query);
  bool SetLinkMode(std::size_t index, const std::string& mode);
  bool ControlStore(const std::string& path);

  // Returns the key prefix of a host, or nothing if it does not answer.
  std::optional<std::string> KeyPrefix(std::size_t index);

  // Starts bulrush_call with these arguments and a history of its own.
  std::unique_ptr<child_process> StartCaller(
      std::vector<std::string> arguments);

  // Stops targets gracefully and everything else; histories are complete then.
  // Returns false if a target did not stop.
  bool Stop();

  // Returns the path of a file in the folder.
  std::string PathOf(std::string_view name) const;

  // Keeps the folder for the analysis of a failure, and returns it.
  const std::string& Keep();
  const std::string& folder() const { return folder_; }

 private:
  struct member {
    int port = 0;
    // Hosts only.
    int peer_port = 0;
    int admin_port = 0;
    std::unique_ptr<child_process> process;
  };

  std::unique_ptr<child_process> StartProgram(
      const std::string& program,
      const std::string& name,
      const std::vector<std::string>& arguments);
  int FreePort();
  bool StartLink(std::size_t index, int server_port);
  bool StartTargetsAndLinks();
  bool Publish();
  void WriteNote() const;
  void WriteSettings(std::size_t index) const;
  bool WaitUntilServing(std::size_t index);

  // Waits until the host knows all others: before that a report of a crash does
  // not reach them all.
  bool WaitUntilFleetIsKnown(std::size_t index);
  int TargetPortForHosts(std::size_t index) const;

  const std::uint64_t seed_;
  std::string folder_;
  bool is_kept_ = false;
  int last_port_ = 0;
  std::size_t callers_started_ = 0;
  member store_;
  std::vector<member> links_;
  std::vector<member> targets_;
  std::vector<member> hosts_;
};

}  // namespace bulrushshore

#endif  // TESTS_SYSTEM_PROCESS_FLEET_H_

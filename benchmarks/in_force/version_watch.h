#ifndef BENCHMARKS_IN_FORCE_VERSION_WATCH_H_
#define BENCHMARKS_IN_FORCE_VERSION_WATCH_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"

namespace bulrushshore {

// The response of a host to GET /readyz.
struct readiness {
  bool is_ready = false;
  std::uint64_t catalog_version = 0;
  std::vector<std::string> reasons;
};

// Asks the host with this admin address. Nothing if it does not answer within
// a second. Thread safe.
std::optional<readiness> AskReadiness(const endpoint& admin_address);

// Follows the version that one host reports, on a thread of its own: every
// 10 ms until the expected version is seen, and every 500 ms afterwards, which
// finds reverts. Thread safe.
class version_watch {
 public:
  // Precondition: `time_source` outlives this object.
  version_watch(endpoint admin_address, const clock& time_source);
  ~version_watch();

  version_watch(const version_watch&) = delete;
  version_watch& operator=(const version_watch&) = delete;

  // Asks often until a ready host reports at least `version`.
  void Expect(std::uint64_t version);

  // Notes that a new process takes the host's place now. It reports nothing
  // that counts before it is ready.
  void NoteRestart();

  // Time of the first ready response with the expected version.
  std::optional<time_point> reported_at() const;

  // Time of the first ready response after the last restart.
  std::optional<time_point> ready_at() const;

  // Last version that the host reported.
  std::uint64_t version() const;

  // Responses whose version was below an earlier one of this host, also of the
  // process before a restart.
  std::uint64_t reverts() const;

 private:
  void Run();
  void Take(const readiness& response);

  const endpoint admin_address_;
  const clock& clock_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool is_stopping_ = false;
  std::uint64_t expected_ = 0;
  std::uint64_t restarts_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t highest_ = 0;
  std::uint64_t reverts_ = 0;
  std::optional<time_point> reported_at_;
  std::optional<time_point> ready_at_;
  std::thread thread_;
};

}  // namespace bulrushshore

#endif  // BENCHMARKS_IN_FORCE_VERSION_WATCH_H_

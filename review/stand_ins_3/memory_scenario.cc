#include <algorithm>
#include <csignal>

#include "review/stand_ins_3/scenarios.h"

namespace bulrushshore::review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWork{400};
constexpr milliseconds kPause{40};
constexpr int kPayers = 16;
constexpr int kRounds = 4;
// "limits.memory-mb" of the settings.
constexpr std::size_t kMemoryLimit = std::size_t{195} << 20;
// "max-body-bytes" of the configuration.
constexpr std::size_t kLargeBody = 67'108'864;
constexpr std::size_t kSmallBody = 1'000'000;
constexpr milliseconds kUploadDeadline{8000};

// Ends hosts that hold more memory than their settings allow, as the platform
// does, and starts them again.
class memory_guard {
 public:
  explicit memory_guard(fleet& played)
      : played_(played), ends_(played.hosts().size()) {}

  void Check() {
    for (std::size_t host = 0; host < ends_.size(); ++host) {
      edge_process& checked = *played_.hosts()[host];
      const std::size_t held = checked.HasEnded() ? 0 : checked.PeakBytes();
      highest_ = std::max(highest_, held);
      if (held > kMemoryLimit) {
        played_.record().Note("host " + std::to_string(host) + " holds " +
                              std::to_string(held) +
                              " bytes: ended by the platform");
        ++ends_[host];
        played_.Restart(host, SIGKILL);
      }
    }
  }

  std::size_t highest() const { return highest_; }
  const std::vector<int>& ends() const { return ends_; }

 private:
  fleet& played_;
  std::vector<int> ends_;
  std::size_t highest_ = 0;
};

// Returns the number of payments on kept connections of a host that a sound
// upstream got and whose connection ended without an answer.
int CountLostPayments(const run_record& record, std::size_t host) {
  int lost = 0;
  for (const std::map<std::string, client_request>::value_type& entry :
       record.requests()) {
    const client_request& request = entry.second;
    const bool is_lost = request.host == host &&
                         request.is_on_kept_connection && request.is_cut &&
                         !request.runs.empty() &&
                         request.path.starts_with("/pay/");
    lost += is_lost ? 1 : 0;
  }
  return lost;
}

}  // namespace

int PlayLargeBodies(fleet& played) {
  for (int number = 0; number < 4; ++number) {
    played.AddUpstream("payments-" + std::to_string(number), "payments-a",
                       kWork);
    played.AddUpstream("uploads-" + std::to_string(number), "uploads", kWork);
  }
  played.WriteConfiguration("payments-a");
  played.Start();
  for (int number = 0; number < kPayers; ++number) {
    played.AddClient({.pause = kPause, .keeps_connection = true});
  }
  played.Run(milliseconds(4000));
  memory_guard guard(played);
  const std::size_t size =
      played.options().has_trouble ? kLargeBody : kSmallBody;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t host = 0; host < played.hosts().size(); ++host) {
      client& uploader = played.AddClient({.path_prefix = "/upload/",
                                           .body_bytes = size,
                                           .deadline = kUploadDeadline,
                                           .pause = milliseconds(1),
                                           .only_host = host});
      const time_point end = played.Now() + milliseconds(2500);
      while (played.Now() < end) {
        played.Run(milliseconds(10));
        if (uploader.IsWaiting()) {
          uploader.Stop();
        }
        guard.Check();
      }
      played.Run(milliseconds(3500));
    }
  }
  played.record().Note(
      "most memory of a host: " + std::to_string(guard.highest()) + " bytes");
  int broken = 0;
  for (std::size_t host = 0; host < played.hosts().size(); ++host) {
    const int lost = CountLostPayments(played.record(), host);
    played.record().Note(
        "host " + std::to_string(host) + " was ended " +
        std::to_string(guard.ends()[host]) +
        " times; payments without an answer: " + std::to_string(lost));
    constexpr int kAllowed = 3;
    broken += lost > kAllowed ? lost : 0;
  }
  return broken;
}

}  // namespace bulrushshore::review

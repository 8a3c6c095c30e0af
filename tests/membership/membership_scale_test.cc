#include <cstdio>
#include <string>

#include <gtest/gtest.h>

#include "tests/membership/fleet_fixture.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kMinute(60);
// Design section 1.6: all control traffic of a host, sent and received.
constexpr std::uint64_t kMaxBytesPerHostSecond = 24'000;
// Frames of TCP, IP, WebSocket and a share of the connection set-up, which the
// fake network does not have, are estimated with this much per message.
constexpr std::uint64_t kOverheadPerMessage = 400;

std::string Seconds(duration value) {
  return std::to_string(static_cast<double>(ToMilliseconds(value).count()) /
                        1'000.0);
}

// Sent bytes and frames of the host that sent most, and of the mean host.
struct traffic_figures {
  double mean_frames = 0;
  double mean_bytes = 0;
  std::uint64_t most_bytes = 0;
};

class MembershipScaleTest : public testing::TestWithParam<std::size_t> {
 protected:
  traffic_figures MeasureTraffic(std::chrono::seconds length) {
    fleet_.network().ResetTraffic();
    fleet_.Run(length);
    traffic_figures figures;
    const std::uint64_t seconds = static_cast<std::uint64_t>(length.count());
    for (const std::map<std::string, fake_peer_network::traffic>::value_type&
             item : fleet_.network().sent()) {
      figures.mean_frames += static_cast<double>(item.second.frames);
      figures.mean_bytes += static_cast<double>(item.second.bytes);
      figures.most_bytes =
          std::max(figures.most_bytes, item.second.bytes / seconds);
    }
    const double hosts = static_cast<double>(GetParam());
    figures.mean_frames /= hosts * static_cast<double>(seconds);
    figures.mean_bytes /= hosts * static_cast<double>(seconds);
    return figures;
  }

  void Report(const char* phase, const traffic_figures& figures) {
    std::printf(
        "%zu hosts, %s: %.1f messages and %.0f bytes sent per host and second, "
        "%llu at the busiest host\n",
        GetParam(), phase, figures.mean_frames, figures.mean_bytes,
        static_cast<unsigned long long>(figures.most_bytes));
  }

  void ExpectWithinBudget(const traffic_figures& figures) {
    const double bytes_per_message_pair =
        2 * (figures.mean_bytes +
             figures.mean_frames * static_cast<double>(kOverheadPerMessage));
    EXPECT_LT(bytes_per_message_pair,
              static_cast<double>(kMaxBytesPerHostSecond));
  }

  bool EveryoneSees(std::size_t subject, host_state state) {
    for (std::size_t observer = 0; observer < fleet_.size(); ++observer) {
      if (observer != subject && fleet_.IsRunning(observer) &&
          fleet_.StateOf(observer, subject) != state) {
        return false;
      }
    }
    return true;
  }

  test_fleet fleet_;
};

// Guards against costs per host that grow with the fleet, and news that does
// not reach all hosts in time.
TEST_P(MembershipScaleTest, SpreadsInTimeAndWithinTheBudget) {
  fleet_.Start(GetParam());
  const duration joined =
      fleet_.Run(3 * kMinute, [this] { return fleet_.IsConverged(); });
  ASSERT_LT(joined, 3 * kMinute);
  std::printf(
      "%zu hosts, all started at once with one seed: converged in %s s\n",
      GetParam(), Seconds(joined).c_str());
  fleet_.Run(std::chrono::seconds(5));
  const traffic_figures quiet = MeasureTraffic(std::chrono::seconds(5));
  Report("quiet", quiet);
  ExpectWithinBudget(quiet);
  fleet_.at(7).agent->BeginLeaving();
  const duration spread = fleet_.Run(
      kMinute, [this] { return EveryoneSees(7, host_state::kLeaving); });
  std::printf("%zu hosts: a change reached all in %s s (rounds of 0.5 s)\n",
              GetParam(), Seconds(spread).c_str());
  EXPECT_LT(spread, std::chrono::seconds(10));
  fleet_.StopHost(9);
  const duration lost = fleet_.Run(
      kMinute, [this] { return EveryoneSees(9, host_state::kLost); });
  std::printf("%zu hosts: a crashed host was lost everywhere in %s s\n",
              GetParam(), Seconds(lost).c_str());
  EXPECT_LT(lost, std::chrono::seconds(30));
  for (std::size_t index = 0; index < GetParam(); ++index) {
    if (fleet_.IsRunning(index)) {
      fleet_.at(index).agent->SetCatalogVersion(1);
    }
  }
  const traffic_figures new_version = MeasureTraffic(std::chrono::seconds(5));
  Report("new catalog version on every host", new_version);
  ExpectWithinBudget(new_version);
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipScaleTest, testing::Values(64, 600));

}  // namespace
}  // namespace bulrushshore

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "platform/endpoints.h"
#include "platform/host_decoder.h"
#include "platform/names.h"
#include "platform/platform_host.h"
#include "stand_ins/platform_store/platform_store.h"

namespace bulrushshore {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 3;

// A change must be in force this long after its acknowledgement.
constexpr milliseconds kBound{2000};

// Several hosts of one zone, each with a store of its own. All stores have the
// same objects, so that each host can be cut off from the store alone. Watches
// that accept stale data are older than the bound.
class ViewAgeTest : public testing::Test {
 protected:
  ViewAgeTest() {
    std::vector<process_settings> settings(kHosts);
    for (int index = 0; index < kHosts; ++index) {
      stores_.push_back(std::make_unique<platform_store_stand_in>(loop_));
      process_settings& added = settings[static_cast<std::size_t>(index)];
      added.host_id = "front-" + std::to_string(index);
      added.zone = "z-a";
      added.region = "z";
      for (endpoint* address : {&added.caller_address, &added.readiness_address,
                                &added.discovery_address,
                                &added.metrics_address, &added.peer_address}) {
        *address = FreeAddress();
      }
      added.store_address = stores_.back()->address();
      added.stop_grace = seconds(6);
    }
    for (const process_settings& known : settings) {
      const host_entry entry{known.host_id, known.zone, known.caller_address,
                             known.peer_address};
      PutEverywhere(platform_names::kHostKind, known.host_id,
                    EncodeHost(entry)["spec"]);
    }
    PutConfiguration(1);
    for (int target = 0; target < kTargets; ++target) {
      PutTarget(target, "ready");
    }
    probes_.clear();
    for (const process_settings& started : settings) {
      hosts_.push_back(std::make_unique<platform_host>(loop_, started));
      EXPECT_TRUE(IsOk(hosts_.back()->Start()));
    }
    RunUntil([this] {
      return std::all_of(hosts_.begin(), hosts_.end(),
                         [](const std::unique_ptr<platform_host>& host) {
                           return host->daemon().IsReady();
                         });
    });
    for (const std::unique_ptr<platform_store_stand_in>& store : stores_) {
      store->SetWatchStaleness(seconds(30));
    }
    // Until then the hosts have settled who leads.
    loop_.run_for(seconds(5));
  }

  endpoint FreeAddress() {
    probes_.push_back(std::make_unique<boost::asio::ip::tcp::acceptor>(
        loop_, boost::asio::ip::tcp::endpoint(
                   boost::asio::ip::make_address("127.0.0.1"), 0)));
    return {"127.0.0.1", probes_.back()->local_endpoint().port()};
  }

  void PutEverywhere(std::string_view kind,
                     std::string_view name,
                     const json& spec) {
    for (const std::unique_ptr<platform_store_stand_in>& store : stores_) {
      store->Put(kind, name, spec);
    }
  }

  void PutConfiguration(int version) {
    json spec = json::parse(R"({"routes":{"r":{"host":"h",
        "path-prefix":"/r/","kind":"safe","timeout-ms":1000,"service":"s"}}})");
    spec["version"] = "0000000" + std::to_string(version);
    PutEverywhere(platform_names::kConfigurationKind,
                  platform_names::kConfigurationName, spec);
  }

  void PutTarget(int number, const std::string& state) {
    PutEverywhere(platform_names::kTargetKind, "t" + std::to_string(number),
                  {{"service", "s"},
                   {"address", "127.0.0.1:9"},
                   {"zone", "z-a"},
                   {"version", "1"},
                   {"slots", 2},
                   {"state", state},
                   {"warmup-left-ms", 0},
                   {"seq", state == "ready" ? 1 : 2},
                   {"born", 1}});
  }

  // Returns the index of the host that reads without stale data again and
  // again.
  std::size_t FindLeader() {
    std::vector<int> before;
    for (const std::unique_ptr<platform_store_stand_in>& store : stores_) {
      before.push_back(store->calls("current"));
    }
    loop_.run_for(seconds(3));
    std::size_t leader = 0;
    for (std::size_t index = 1; index < stores_.size(); ++index) {
      const int calls = stores_[index]->calls("current") - before[index];
      if (calls > stores_[leader]->calls("current") - before[leader]) {
        leader = index;
      }
    }
    return leader;
  }

  void RunUntil(const std::function<bool()>& condition) {
    const std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + seconds(8);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      loop_.run_for(milliseconds(5));
    }
    EXPECT_TRUE(condition());
  }

  // Returns the version of the rules that the host has in force.
  static int RulesVersion(platform_host& host) {
    const std::string text =
        HandleMetrics(host.daemon(), {"GET", "/metrics", {}, ""}).body;
    const std::string name = "\nbulrush_rules_version ";
    return std::stoi(text.substr(text.find(name) + name.size()));
  }

  static constexpr int kTargets = 14;
  boost::asio::io_context loop_{1};
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> probes_;
  std::vector<std::unique_ptr<platform_store_stand_in>> stores_;
  std::vector<std::unique_ptr<platform_host>> hosts_;
};

// Guards against hosts that use targets for longer than the bound while targets
// are replaced one after the other: only the first two and each eighth of the
// changed views made them read the store (review/10).
TEST_F(ViewAgeTest, TargetsThatLeaveOneAfterTheOtherAreOutOfUseInTime) {
  constexpr int kLeaving = 7;
  constexpr milliseconds kGap{1100};
  constexpr milliseconds kOtherChanges{550};
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  int left = 0;
  int others = 0;
  while (std::chrono::steady_clock::now() < start + (kLeaving + 2) * kGap) {
    if (left < kLeaving &&
        std::chrono::steady_clock::now() >= start + left * kGap) {
      PutTarget(left++, "draining");
    }
    // Targets that are never in use, so that the views change all the time.
    if (std::chrono::steady_clock::now() >= start + others * kOtherChanges) {
      PutTarget(kTargets + others++, "draining");
    }
    loop_.run_for(milliseconds(20));
    const int gone_by_now = static_cast<int>(
        (std::chrono::steady_clock::now() - start - kBound) / kGap);
    const int gone = std::chrono::steady_clock::now() < start + kBound
                         ? 0
                         : std::min(kLeaving, gone_by_now + 1);
    for (const std::unique_ptr<platform_host>& host : hosts_) {
      ASSERT_LE(host->daemon().usable_target_count(),
                static_cast<std::size_t>(kTargets - gone))
          << host->daemon().self().id;
    }
  }
}

// Guards against hosts that compare their view with that of a leader which has
// lost the store (review/8), and against a flood of reads in its place.
TEST_F(ViewAgeTest, RulesAreInForceInTimeWhileTheLeaderIsCutOff) {
  const std::size_t leader = FindLeader();
  stores_[leader]->SetOutage(true);
  loop_.run_for(seconds(3));
  int reads = 0;
  for (std::size_t index = 0; index < stores_.size(); ++index) {
    reads -= index == leader ? 0 : stores_[index]->calls("current");
  }
  PutConfiguration(2);
  loop_.run_for(kBound);
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    if (index != leader) {
      EXPECT_EQ(RulesVersion(*hosts_[index]), 2) << index;
    }
  }
  for (std::size_t index = 0; index < stores_.size(); ++index) {
    reads += index == leader ? 0 : stores_[index]->calls("current");
  }
  // One host leads and makes 1.25 reads a second of each kind; the other one
  // reads once when it finds that its rules differ.
  EXPECT_LE(reads, 12);
}

}  // namespace
}  // namespace bulrushshore

#include "platform/store_watcher.h"

#include <functional>
#include <map>
#include <new>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "libraries/event_loop/loop_clock.h"
#include "platform/json_fields.h"
#include "stand_ins/platform_store/platform_store.h"

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

class recording_listener : public store_listener {
 public:
  void OnListed(const std::vector<nlohmann::json>& objects) override {
    ++lists;
    known.clear();
    for (const nlohmann::json& object : objects) {
      known[ObjectName(object).value_or("")] = object["spec"];
    }
  }
  void OnChanged(const nlohmann::json& object, bool is_deleted) override {
    const std::string name = ObjectName(object).value_or("");
    if (name == "throw") {
      throw std::bad_alloc();
    }
    if (is_deleted) {
      known.erase(name);
    } else {
      known[name] = object["spec"];
    }
  }
  void OnChangesRead() override { ++groups; }
  void OnStoreLost() override { ++lost; }
  void OnStoreRegained() override { ++regained; }

  std::map<std::string, nlohmann::json> known;
  int lists = 0;
  int groups = 0;
  int lost = 0;
  int regained = 0;
};

class StoreWatcherTest : public testing::Test {
 protected:
  void Start() {
    watcher_.Start(read_consistency::kCurrent);
    RunUntil([this] { return store_.calls("watch") > 0; });
  }

  void RunUntil(const std::function<bool()>& condition) {
    const time_point end = time_.Now() + std::chrono::seconds(4);
    while (!condition() && time_.Now() < end) {
      loop_.run_for(milliseconds(5));
    }
    EXPECT_TRUE(condition());
  }

  boost::asio::io_context loop_{1};
  loop_clock time_;
  seeded_random random_{1};
  bounded_log log_{time_, {.lines_per_second = 0.0, .burst_lines = 0.0}};
  platform_store_stand_in store_{loop_};
  metric_registry metrics_;
  store_client client_{loop_, store_.address(), log_, metrics_};
  store_probe probe_{loop_, client_, "things", random_};
  recording_listener listener_;
  store_watcher watcher_{loop_, client_, probe_, "things", listener_, log_};
};

TEST_F(StoreWatcherTest, ReadsAllPagesAndFollowsChanges) {
  store_.SetPageSize(2);
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    store_.Put("things", name, 1);
  }
  Start();
  EXPECT_EQ(listener_.known.size(), 5U);
  store_.Remove("things", "b");
  store_.Put("things", "f", 2);
  RunUntil([this] { return listener_.known.contains("f"); });
  EXPECT_FALSE(listener_.known.contains("b"));
  EXPECT_EQ(listener_.lists, 1);
}

// Guards against names that change the request to the store for the next page.
TEST_F(StoreWatcherTest, ContinuesAListAfterAnyName) {
  store_.SetPageSize(1);
  for (const char* name : {"a", "b c", "d&watch=1", "e\r\nf", "g%41"}) {
    store_.Put("things", name, 1);
  }
  Start();
  EXPECT_EQ(listener_.known.size(), 5U);
}

// Guards against an exception that ends the process, or the watch.
TEST_F(StoreWatcherTest, AnExceptionCostsOneChange) {
  Start();
  store_.Put("things", "throw", 1);
  store_.Put("things", "a", 1);
  RunUntil([this] { return listener_.known.contains("a"); });
  store_.Put("things", "b", 1);
  RunUntil([this] { return listener_.known.contains("b"); });
  EXPECT_EQ(listener_.lists, 1);
}

TEST_F(StoreWatcherTest, ReadsTheListAgainWhenTheHistoryIsGone) {
  Start();
  store_.SilenceWatches();
  store_.Put("things", "a", 1);
  store_.DropHistory();
  watcher_.Renew(false);
  RunUntil([this] { return listener_.known.contains("a"); });
  EXPECT_EQ(listener_.lists, 2);
  EXPECT_EQ(listener_.lost, 0);
}

TEST_F(StoreWatcherTest, ReportsWhenTheStoreIsLostAndRegained) {
  Start();
  store_.SetOutage(true);
  watcher_.Renew(true);
  RunUntil([this] { return listener_.lost == 1; });
  store_.Put("things", "a", 1);
  store_.SetOutage(false);
  RunUntil([this] { return listener_.known.contains("a"); });
  EXPECT_EQ(listener_.lost, 1);
  EXPECT_EQ(listener_.regained, 1);
}

// Guards against watchers that retry with a current list while the store is
// unavailable: 69 hosts did so for nine seconds. A current list costs ten times
// as much as the call of the probe.
TEST_F(StoreWatcherTest, ProbesTheStoreWithTheCheapestCall) {
  Start();
  const int current_before = store_.calls("current");
  store_.SetOutage(true);
  watcher_.Renew(true);
  RunUntil([this] { return store_.calls("list") >= 5; });
  EXPECT_EQ(store_.calls("current"), current_before + 1);
  store_.Put("things", "a", 1);
  store_.SetOutage(false);
  RunUntil([this] { return listener_.known.contains("a"); });
  EXPECT_EQ(listener_.lists, 2);
}

// Guards against watchers that each poll an unavailable store on their own. In
// one run, 3,596 of 6,451 priced calls were made while the store was
// unavailable.
TEST_F(StoreWatcherTest, WatchersOfAHostShareOneProbe) {
  recording_listener other_listener;
  store_watcher other(loop_, client_, probe_, "others", other_listener, log_);
  Start();
  other.Start(read_consistency::kCurrent);
  RunUntil([this] { return store_.calls("watch") > 1; });
  store_.SetOutage(true);
  watcher_.Renew(true);
  other.Renew(true);
  RunUntil([&] { return listener_.lost + other_listener.lost == 2; });
  const int before = store_.calls("list");
  loop_.run_for(milliseconds(2500));
  // A single probe polls after 0.2, 0.6, 1.4 and 2.3 s at the earliest.
  EXPECT_LE(store_.calls("list") - before, 4);
  EXPECT_GE(store_.calls("list") - before, 3);
  store_.Put("others", "a", 1);
  store_.SetOutage(false);
  RunUntil([&] { return other_listener.known.contains("a"); });
  RunUntil([this] { return listener_.regained == 1; });
}

// Guards against a stale target list: after a watch had been silently cut off,
// the host did not update the list for 20 s.
TEST_F(StoreWatcherTest, ShortWatchDetectsThatItWasCutOff) {
  watcher_.SetWatch(milliseconds(200), read_consistency::kCurrent,
                    milliseconds(0));
  Start();
  store_.SilenceWatches();
  store_.Put("things", "a", 1);
  const time_point cut = time_.Now();
  RunUntil([this] { return listener_.known.contains("a"); });
  EXPECT_LT(time_.Now() - cut, milliseconds(1500));
}

TEST_F(StoreWatcherTest, RenewReadsChangesThatASilentWatchMissed) {
  Start();
  store_.SilenceWatches();
  store_.Put("things", "a", 1);
  loop_.run_for(milliseconds(50));
  EXPECT_FALSE(listener_.known.contains("a"));
  watcher_.Renew(false);
  RunUntil([this] { return listener_.known.contains("a"); });
  EXPECT_EQ(listener_.lists, 1);
}

}  // namespace
}  // namespace bulrushshore

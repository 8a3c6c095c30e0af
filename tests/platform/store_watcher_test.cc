#include "platform/store_watcher.h"

#include <functional>
#include <map>
#include <new>
#include <string>
#include <vector>

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
  void OnRead(time_point as_of, bool is_list) override {
    reads.push_back({as_of, is_list});
  }
  void OnStoreLost() override { ++lost; }
  void OnStoreRegained() override { ++regained; }

  std::map<std::string, nlohmann::json> known;
  int lists = 0;
  int groups = 0;
  int lost = 0;
  int regained = 0;
  struct read {
    time_point as_of;
    bool is_list = false;
  };
  std::vector<read> reads;
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
  store_watcher watcher_{loop_,     client_, probe_, "things",
                         listener_, time_,   log_};
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
  store_watcher other(loop_, client_, probe_, "others", other_listener, time_,
                      log_);
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

// Guards against a host that cannot tell how old its view is: only responses
// that can't be stale say so, and a watch that reports changes says nothing
// about the time after its start.
TEST_F(StoreWatcherTest, ReportsAsOfWhenWhatItReadIsCurrent) {
  const time_point before = time_.Now();
  watcher_.SetWatch(milliseconds(400), read_consistency::kCurrent,
                    milliseconds(0));
  Start();
  ASSERT_EQ(listener_.reads.size(), 1U);
  EXPECT_TRUE(listener_.reads[0].is_list);
  EXPECT_GE(listener_.reads[0].as_of, before);
  const time_point listed = time_.Now();
  RunUntil([this] { return listener_.reads.size() > 1; });
  EXPECT_FALSE(listener_.reads[1].is_list);
  EXPECT_GE(listener_.reads[1].as_of, listed);
  EXPECT_LE(listener_.reads[1].as_of, time_.Now());
  loop_.run_for(milliseconds(100));
  store_.Put("things", "a", 1);
  const time_point changed = time_.Now();
  RunUntil([this] { return listener_.reads.size() > 2; });
  EXPECT_LT(listener_.reads[2].as_of, changed);
  EXPECT_TRUE(listener_.known.contains("a"));
  watcher_.SetWatch(milliseconds(500), read_consistency::kPossiblyStale,
                    milliseconds(0));
  RunUntil([this] { return listener_.reads.size() > 3; });
  const std::size_t reads = listener_.reads.size();
  store_.Put("things", "b", 1);
  RunUntil([this] { return listener_.known.contains("b"); });
  loop_.run_for(milliseconds(600));
  EXPECT_EQ(listener_.reads.size(), reads);
}

// Guards against a leader whose view becomes too old for the other hosts
// because changes end its watches: the next one then waited its full time.
TEST_F(StoreWatcherTest, ChangesDoNotDelayTheNextConfirmation) {
  constexpr milliseconds kWatchTime{400};
  constexpr milliseconds kSlowMachine{150};
  watcher_.SetWatch(kWatchTime, read_consistency::kCurrent, milliseconds(150));
  Start();
  const time_point end = time_.Now() + std::chrono::seconds(4);
  int change = 0;
  while (time_.Now() < end) {
    store_.Put("things", "a" + std::to_string(++change), change);
    loop_.run_for(milliseconds(310));
  }
  ASSERT_GE(listener_.reads.size(), 9U);
  for (std::size_t index = 1; index < listener_.reads.size(); ++index) {
    EXPECT_LE(listener_.reads[index].as_of - listener_.reads[index - 1].as_of,
              kWatchTime + kSlowMachine);
  }
}

// Guards against a host that cannot read for itself while it waits for further
// changes, which is most of the time while changes follow one another.
TEST_F(StoreWatcherTest, RenewReadsDuringTheWaitForFurtherChanges) {
  watcher_.SetWatch(std::chrono::seconds(30), read_consistency::kPossiblyStale,
                    std::chrono::seconds(3));
  Start();
  store_.Put("things", "a", 1);
  RunUntil([this] { return listener_.known.contains("a"); });
  store_.Put("things", "b", 1);
  const time_point changed = time_.Now();
  loop_.run_for(milliseconds(20));
  watcher_.Renew(false);
  RunUntil([this] { return listener_.known.contains("b"); });
  EXPECT_LT(time_.Now() - changed, std::chrono::seconds(1));
}

// Guards against hosts that all read an unavailable store at the full price
// because their leader cannot confirm its view.
TEST_F(StoreWatcherTest, AProbeThatIsNeededNowIsMadeAtOnce) {
  // A watch of current data would end at the next multiple of its time, and
  // then read the store as well.
  watcher_.SetWatch(std::chrono::seconds(30), read_consistency::kPossiblyStale,
                    milliseconds(0));
  Start();
  const int current = store_.calls("current");
  int reached = 0;
  probe_.CallOnceReached([&reached] { ++reached; });
  RunUntil([&reached] { return reached == 1; });
  store_.SetOutage(true);
  probe_.CallOnceReached([&reached] { ++reached; });
  loop_.run_for(milliseconds(500));
  EXPECT_EQ(reached, 1);
  store_.SetOutage(false);
  RunUntil([&reached] { return reached == 2; });
  EXPECT_EQ(store_.calls("current"), current);
}

}  // namespace
}  // namespace bulrushshore

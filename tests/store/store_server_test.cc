#include "stand_ins/object_store/store_server.h"

#include <httplib.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "libraries/store/catalog_publisher.h"
#include "libraries/store/catalog_reader.h"
#include "libraries/store/http_machine_list.h"
#include "libraries/store/http_object_store.h"
#include "libraries/store/object_key.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

class StoreServerTest : public testing::Test {
 protected:
  void SetUp() override {
    const result<std::uint16_t> port = server_.Start();
    ASSERT_TRUE(IsOk(port));
    options_ = {{"127.0.0.1", ValueOf(port)}, std::chrono::milliseconds(500)};
    store_ = std::make_unique<http_object_store>(options_, clock_);
  }

  void Control(const std::string& path) {
    httplib::Client client(options_.address.ip, options_.address.port);
    const httplib::Result response = client.Post(path);
    ASSERT_TRUE(response);
    ASSERT_EQ(response->status, 200);
  }

  std::string Calls() {
    httplib::Client client(options_.address.ip, options_.address.port);
    const httplib::Result response = client.Get("/control/calls");
    return response ? response->body : "";
  }

  store_server server_{{}};
  manual_clock clock_;
  http_store_options options_;
  std::unique_ptr<http_object_store> store_;
};

// Guards against an adapter that maps a response to the wrong result.
TEST_F(StoreServerTest, KeepsTheContractOfTheStore) {
  EXPECT_EQ(ErrorOf(store_->Get("a/b")).code, error_code::kNotFound);
  const std::string value("binary\0\r\n\xff", 10);
  const result<std::uint64_t> first = store_->Put("a/b", value, kNoVersion);
  ASSERT_TRUE(IsOk(first));
  EXPECT_EQ(ValueOf(store_->Get("a/b")),
            (stored_object{value, ValueOf(first)}));
  EXPECT_EQ(ErrorOf(store_->Put("a/b", "x", kNoVersion)).code,
            error_code::kConflict);
  const result<std::uint64_t> second =
      store_->Put("a/b", std::string(kMaxObjectBytes, 'x'), ValueOf(first));
  ASSERT_TRUE(IsOk(second));
  EXPECT_GT(ValueOf(second), ValueOf(first));
  EXPECT_EQ(ValueOf(store_->Get("a/b")).value.size(), kMaxObjectBytes);
  store_->Put("a/c", "", kNoVersion);
  store_->Put("b", "", kNoVersion);
  EXPECT_EQ(ValueOf(store_->List("a/", 10)),
            (std::vector<std::string>{"a/b", "a/c"}));
  EXPECT_EQ(ValueOf(store_->List("", 1)).size(), 1U);
  EXPECT_EQ(ErrorOf(store_->Delete("a/b", ValueOf(first))).code,
            error_code::kConflict);
  EXPECT_TRUE(IsOk(store_->Delete("a/b", ValueOf(second))));
  EXPECT_EQ(ErrorOf(store_->Get("a/b")).code, error_code::kNotFound);
  EXPECT_EQ(ErrorOf(store_->Get("a b")).code, error_code::kInvalidArgument);
}

// Guards against a write that is called ineffective although it took effect
// when the connection ends without an answer.
TEST_F(StoreServerTest, TellsALostReplyFromAnOutage) {
  Control("/control/lost_replies?count=1");
  EXPECT_EQ(ErrorOf(store_->Put("k", "v", kNoVersion)).code,
            error_code::kUnknownEffect);
  EXPECT_EQ(ValueOf(store_->Get("k")).value, "v");
  Control("/control/outage?on=true");
  EXPECT_EQ(ErrorOf(store_->Put("k2", "v", kNoVersion)).code,
            error_code::kUnavailable);
  EXPECT_EQ(ErrorOf(store_->Get("k")).code, error_code::kUnavailable);
  Control("/control/outage?on=false");
  EXPECT_EQ(ErrorOf(store_->Get("k2")).code, error_code::kNotFound);
}

// Guards against calls that outlast their time-out, and against a write whose
// answer is too late and is taken for one without effect.
TEST_F(StoreServerTest, BoundsCallsToASlowStore) {
  Control("/control/delay?ms=700");
  EXPECT_EQ(ErrorOf(store_->Get("k")).code, error_code::kUnavailable);
  EXPECT_EQ(ErrorOf(store_->Put("k", "v", kNoVersion)).code,
            error_code::kUnknownEffect);
  Control("/control/delay?ms=0");
}

// Guards against an unreachable store whose writes count as unknown.
TEST_F(StoreServerTest, RefusedConnectionsHaveNoEffect) {
  server_.Stop();
  EXPECT_EQ(ErrorOf(store_->Put("k", "v", kNoVersion)).code,
            error_code::kUnavailable);
}

// Guards against a watch that polls, misses the change or blocks other calls.
TEST_F(StoreServerTest, WatchWaitsWithOneCall) {
  EXPECT_EQ(
      ErrorOf(store_->WaitForChange("k", 0, std::chrono::milliseconds(60)))
          .code,
      error_code::kDeadlineExceeded);
  result<stored_object> seen = error{};
  std::thread watcher(
      [&] { seen = store_->WaitForChange("k", 0, std::chrono::seconds(20)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  ASSERT_TRUE(IsOk(store_->Put("k", "v", kNoVersion)));
  watcher.join();
  ASSERT_TRUE(IsOk(seen));
  EXPECT_EQ(ValueOf(seen).value, "v");
  EXPECT_NE(Calls().find("\"watch\":2"), std::string::npos) << Calls();
}

// Guards against a list of machines that is taken over without a check.
TEST_F(StoreServerTest, ReadsTheMachineList) {
  http_machine_list machines(options_, clock_);
  EXPECT_TRUE(ValueOf(machines.Machines()).empty());
  httplib::Client client(options_.address.ip, options_.address.port);
  client.Put("/control/machines",
             R"({"machines":[{"ip":"10.0.0.1","state":"live"},
                             {"ip":"::1","state":"leaving"}]})",
             "application/json");
  EXPECT_EQ(ValueOf(machines.Machines()),
            (std::vector<machine>{{"10.0.0.1", machine_state::kLive},
                                  {"::1", machine_state::kLeaving}}));
  client.Put("/control/machines",
             R"({"machines":[{"ip":"localhost","state":"live"}]})",
             "application/json");
  EXPECT_EQ(ErrorOf(machines.Machines()).code, error_code::kDataLoss);
}

// Guards against lost updates: of many publishers that race for each version
// exactly one may win, also while replies get lost.
TEST_F(StoreServerTest, ExactlyOneOfRacingPublishersWins) {
  constexpr int kPublishers = 6;
  constexpr std::uint64_t kRounds = 4;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    Control("/control/lost_replies?prefix=catalog/head&count=1");
    std::vector<publish_outcome> outcomes(kPublishers);
    std::vector<std::thread> threads;
    threads.reserve(kPublishers);
    for (int index = 0; index < kPublishers; ++index) {
      threads.emplace_back([&, index] {
        http_object_store store(options_, clock_);
        const std::string name =
            "r" + std::to_string(round) + "-p" + std::to_string(index);
        outcomes[index] = catalog_publisher(store).Publish(
            NoteText(name, round, ServiceSections(name)), 0);
      });
    }
    int accepted = 0;
    for (std::thread& thread : threads) {
      thread.join();
    }
    for (const publish_outcome& outcome : outcomes) {
      accepted += outcome.result == publish_result::kAccepted ? 1 : 0;
      EXPECT_TRUE(outcome.result == publish_result::kAccepted ||
                  outcome.is_conflict)
          << outcome.message;
    }
    EXPECT_EQ(accepted, 1);
  }
  catalog_reader reader(*store_);
  ASSERT_TRUE(IsOk(reader.Refresh()));
  EXPECT_EQ(reader.snapshot()->version, kRounds);
  EXPECT_EQ(reader.snapshot()->contents.services.size(), kRounds);
}

}  // namespace
}  // namespace bulrushshore

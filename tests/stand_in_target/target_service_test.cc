#include "stand_ins/target/target_service.h"

#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <nlohmann/json.hpp>

#include "libraries/history/work_answer.h"

namespace bulrushshore {
namespace {

// Longer than any test run: ends only by cancellation.
constexpr char kEndlessMs[] = "100000000";

class TargetServiceTest : public testing::Test {
 protected:
  void Start(std::size_t slots) {
    target_options options;
    options.slots = slots;
    options.backlog = 0;
    path_ = testing::TempDir() + "/target-" +
            FormatHex(seeded_random::FromSystemEntropy().Next());
    service_ = std::make_unique<target_service>(
        options, clock_, TakeValue(json_line_file::Open(path_)));
    port_ = service_->server().Bind(0).value_or(0);
    ASSERT_NE(port_, 0);
    thread_ = std::thread([this] { service_->server().listen_after_bind(); });
    // stop() has no effect on a server that has not started yet.
    while (!service_->server().is_running()) {
      std::this_thread::yield();
    }
  }

  void TearDown() override { Stop(); }

  void Stop() {
    if (thread_.joinable()) {
      service_->Stop();
      thread_.join();
    }
  }

  std::unique_ptr<httplib::Client> MakeClient() const {
    std::unique_ptr<httplib::Client> client =
        std::make_unique<httplib::Client>("127.0.0.1", port_);
    client->set_read_timeout(std::chrono::seconds(60));
    return client;
  }

  httplib::Result Work(const char* work_ms,
                       const httplib::Headers& more = {}) const {
    httplib::Headers headers = more;
    headers.emplace("X-Work-Ms", work_ms);
    headers.emplace("X-Request-Id", "r1");
    headers.emplace("Idempotency-Key", "k1");
    return MakeClient()->Get("/certificates/issue", headers);
  }

  void Admin(const std::string& path) const {
    ASSERT_EQ(MakeClient()->Post(path)->status, 200);
  }

  // Waits until GET /_admin/state has this number.
  void WaitForState(const char* name, int wanted) const {
    nlohmann::json state;
    do {
      state = nlohmann::json::parse(MakeClient()->Get("/_admin/state")->body);
    } while (state[name] != wanted);
  }

  std::string History() const {
    std::ifstream file(path_);
    return {std::istreambuf_iterator<char>(file), {}};
  }

  caf::actor_system_config config_;
  caf::actor_system system_{config_};
  runtime_clock clock_{system_.clock()};
  std::string path_;
  std::unique_ptr<target_service> service_;
  std::thread thread_;
  int port_ = 0;
};

// Guards against responses that cannot be told from those of other requests.
TEST_F(TargetServiceTest, AnswersWithRequestIdKeyAndChecksum) {
  Start(1);
  const httplib::Result response =
      Work("0", {{"X-Work-Response-Bytes", "100"}});
  ASSERT_TRUE(response);
  const result<work_answer> answer = ParseWorkAnswer(response->body);
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).request_id, "r1");
  EXPECT_EQ(ValueOf(answer).key, "k1");
  EXPECT_EQ(ValueOf(answer).filler.size(), 100U);
  EXPECT_EQ(response->get_header_value("X-Load"), "0");
  EXPECT_FALSE(
      IsOk(ParseWorkAnswer(std::string_view(response->body).substr(0, 40))));
}

// Guards against work above the slots, against a refusal that leaves a record
// of work, and against work that goes on after its caller is gone.
TEST_F(TargetServiceTest, ShedsAboveItsSlotsAndCancelsWhenTheCallerIsGone) {
  Start(1);
  std::unique_ptr<httplib::Client> first = MakeClient();
  std::thread running([&first] {
    first->Get("/a", {{"X-Work-Ms", kEndlessMs}, {"X-Request-Id", "first"}});
  });
  WaitForState("running", 1);
  const httplib::Result shed = Work("0");
  EXPECT_EQ(shed->status, 503);
  EXPECT_EQ(shed->get_header_value("X-Not-Started"), "1");
  EXPECT_EQ(shed->get_header_value("X-Load"), "1");
  first->stop();
  running.join();
  WaitForState("running", 0);
  EXPECT_THAT(History(), testing::HasSubstr(R"("outcome":"cancelled")"));
  EXPECT_THAT(History(), testing::Not(testing::HasSubstr(R"("r1")")));
}

// Guards against work that starts after its caller has given up.
TEST_F(TargetServiceTest, RefusesWorkWhoseDeadlineHasPassed) {
  Start(1);
  const httplib::Result refused = Work("0", {{"X-Request-Deadline-Ms", "0"}});
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(refused->get_header_value("X-Not-Started"), "1");
  EXPECT_EQ(History(), "");
}

// Guards against fault modes without effect, which would let tests of the
// product pass for the wrong reason.
TEST_F(TargetServiceTest, ServesTheFaultThatItsModeNames) {
  Start(1);
  Admin("/_admin/mode?mode=gray&fail_share=1");
  EXPECT_EQ(Work("0")->status, 500);
  EXPECT_EQ(MakeClient()->Get("/health")->status, 200);
  Admin("/_admin/mode?mode=flapping&flap_ms=100000000");
  EXPECT_EQ(MakeClient()->Get("/health")->status, 503);
  EXPECT_EQ(Work("0")->status, 500);
  Admin("/_admin/mode?mode=truncating&truncate_share=1");
  EXPECT_FALSE(Work("0"));
  Admin("/_admin/mode?mode=healthy");
  EXPECT_EQ(Work("0")->status, 200);
  Admin("/_admin/report?fixed_load=77");
  EXPECT_EQ(Work("0")->get_header_value("X-Load"), "77");
  Admin("/_admin/drain?on=1");
  EXPECT_EQ(Work("0")->get_header_value("X-Draining"), "1");
  EXPECT_EQ(MakeClient()->Get("/health")->body, R"({"status":"draining"})");
}

// Guards against a silent connection that recovers, and against silence that
// spreads to new connections.
TEST_F(TargetServiceTest, FreezesOpenConnectionsOnly) {
  Start(1);
  std::unique_ptr<httplib::Client> open = MakeClient();
  open->set_keep_alive(true);
  ASSERT_TRUE(open->Get("/a", {{"X-Work-Ms", "0"}}));
  Admin("/_admin/mode?mode=freezing");
  open->set_read_timeout(std::chrono::milliseconds(50));
  EXPECT_FALSE(open->Get("/a", {{"X-Work-Ms", "0"}}));
  EXPECT_EQ(Work("0")->status, 200);
}

// Guards against a graceful stop that cuts off running work.
TEST_F(TargetServiceTest, CompletesRunningWorkWhenItStops) {
  Start(2);
  std::thread running([this] { EXPECT_EQ(Work("300")->status, 200); });
  WaitForState("runs", 1);
  Stop();
  running.join();
  EXPECT_THAT(History(), testing::HasSubstr(R"("outcome":"completed")"));
}

}  // namespace
}  // namespace bulrushshore

#ifndef TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/write.hpp>

#include "libraries/event_loop/loop_clock.h"
#include "libraries/gateway/gateway.h"
#include "tests/gateway/scripted_target.h"

namespace bulrushshore {

// Records reports instead of sending them to other hosts.
class recording_reporter : public evidence_reporter {
 public:
  void ReportObservation(const suspicion_tracker::target_key&,
                         target_observation observation) override {
    observations.push_back(observation);
  }
  void ReportLoss(std::uint64_t, std::string_view, loss_evidence) override {
    ++losses;
  }
  void ReportLeaving(const suspicion_tracker::target_key& target) override {
    leaving_targets.emplace_back(target.id);
  }

  std::vector<target_observation> observations;
  std::vector<std::string> leaving_targets;
  int losses = 0;
};

// Runs a gateway, its targets and a caller on one event loop.
class GatewayTest : public testing::Test {
 protected:
  GatewayTest() : GatewayTest(Options()) {}

  explicit GatewayTest(const gateway_options& options)
      : state_(loop_, time_, random_, telemetry_, reporter_, options),
        gateway_(state_),
        caller_(loop_) {
    // Lets the system choose a free port and listens on it afterwards. Tests of
    // one process run one after another, so none of them takes it in between.
    boost::asio::ip::tcp::acceptor probe(
        loop_, {boost::asio::ip::make_address("127.0.0.1"), 0});
    address_ = {"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    EXPECT_TRUE(IsOk(gateway_.Listen(address_)));
  }

  static gateway_options Options() {
    gateway_options options;
    options.headers = {"X-Attempt",  "X-Deadline",     "X-Signature",
                       "X-Expected", "X-Not-Executed", "X-Leaving"};
    options.retry_allowance = 100.0;
    options.connections.connection.connect_timeout =
        std::chrono::milliseconds(300);
    return options;
  }

  // Sets rules in which the route /read/ is idempotent and /pay/ is not.
  void ApplyRules(
      std::chrono::milliseconds timeout = std::chrono::milliseconds(1000)) {
    rule_set rules;
    rules.version = ++version_;
    rules.limits = limits_;
    for (const bool is_idempotent : {true, false}) {
      route_rule route;
      route.name = is_idempotent ? "read" : "pay";
      route.host_name = "h";
      route.path_prefix = "/" + route.name + "/";
      route.services = {{"s", 1.0}};
      route.is_idempotent = is_idempotent;
      route.timeout = timeout;
      route.target_latency = std::chrono::milliseconds(500);
      route.max_attempts = 2;
      rules.routes[route.name] = route;
    }
    ASSERT_TRUE(state_.SetRules(std::make_shared<const rule_set>(rules)));
  }

  scripted_target& AddTarget(const std::string& id,
                             scripted_target::script reply) {
    targets_.push_back(
        std::make_unique<scripted_target>(loop_, std::move(reply)));
    target_entry entry;
    entry.id = id;
    entry.service = "s";
    entry.address = targets_.back()->address();
    entry.zone = "a";
    entry.slots = 6;
    state_.targets().Apply(entry, time_.Now());
    return *targets_.back();
  }

  void Connect() {
    caller_.connect(
        {boost::asio::ip::make_address(address_.ip), address_.port});
  }

  void Send(std::string_view bytes) {
    if (!caller_.is_open()) {
      Connect();
    }
    boost::asio::write(caller_,
                       boost::asio::buffer(bytes.data(), bytes.size()));
  }

  void SendRequest(std::string_view path,
                   std::string_view attempt = "1",
                   std::string_view method = "GET") {
    Send(std::string(method) + " " + std::string(path) +
         " HTTP/1.1\r\nHost: h\r\nX-Attempt: " + std::string(attempt) +
         "\r\nX-Deadline: 5000\r\nContent-Length: 0\r\n\r\n");
  }

  // Runs the loop until the caller has received `count` responses or the
  // connection is closed, for at most two seconds.
  std::vector<proxy_response> Receive(std::size_t count = 1) {
    std::vector<proxy_response> responses;
    response_reader reader(std::uint64_t{16} << 20);
    reader.Start(false);
    bool is_finished = false;
    std::function<void()> read_more = [&] {
      caller_.async_read_some(
          boost::asio::buffer(buffer_),
          [&](const socket_error& error, std::size_t size) {
            if (error) {
              is_finished = true;
              return;
            }
            response_read_state state = reader.Feed({buffer_.data(), size});
            while (state == response_read_state::kComplete) {
              responses.push_back(reader.TakeResponse().response);
              reader.Start(false);
              state = reader.FeedBuffered();
            }
            if (responses.size() < count) {
              read_more();
            } else {
              is_finished = true;
            }
          });
    };
    read_more();
    RunUntil([&] { return is_finished; }, std::chrono::milliseconds(2000));
    return responses;
  }

  template <typename Condition>
  void RunUntil(Condition condition, std::chrono::milliseconds limit) {
    const time_point end = time_.Now() + limit;
    while (!condition() && time_.Now() < end) {
      loop_.run_for(std::chrono::milliseconds(5));
    }
  }

  void RunFor(std::chrono::milliseconds time) {
    RunUntil([] { return false; }, time);
  }

  boost::asio::io_context loop_{1};
  loop_clock time_;
  seeded_random random_{5};
  bounded_log log_{time_, {.lines_per_second = 0.0, .burst_lines = 0.0}};
  metric_registry metrics_;
  gateway_telemetry telemetry_{log_, metrics_};
  recording_reporter reporter_;
  std::vector<std::unique_ptr<scripted_target>> targets_;
  gateway_state state_;
  gateway gateway_;
  boost::asio::ip::tcp::socket caller_;
  endpoint address_;
  std::array<char, 16384> buffer_{};
  std::uint64_t version_ = 0;
  caller_limits limits_;
};

}  // namespace bulrushshore

#endif  // TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "libraries/event_loop/loop_clock.h"
#include "libraries/event_loop/socket_options.h"
#include "libraries/http/response_reader.h"
#include "platform/names.h"
#include "stand_ins/platform_store/platform_store.h"
#include "tests/gateway/early_target.h"
#include "tests/platform/soak/soak_host.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kLongUpload = std::size_t{8} << 20;
constexpr std::size_t kShortUpload = 3;
constexpr milliseconds kStartTime{15'000};
constexpr milliseconds kRequestTime{5000};
constexpr char kWholeBody[] = "whole body";

// Number of requests of each test. BROKEN_RESPONSE_REQUESTS sets another one
// for longer plays by hand.
int RequestCount() {
  constexpr int kUsualRequests = 16;
  const char* const text = std::getenv("BROKEN_RESPONSE_REQUESTS");
  return text ? std::atoi(text) : kUsualRequests;
}

std::string SignedHead(std::string_view status_and_fields) {
  return "HTTP/1.1 " + std::string(status_and_fields) + "\r\n" +
         std::string(platform_names::kAttemptIdHeader) + ": 1\r\n" +
         std::string(platform_names::kSignatureHeader) + ": s\r\n\r\n";
}

struct target_response {
  const char* name;
  std::string bytes;
  connection_end end;
  std::size_t upload_bytes;
  int expected_status;
  milliseconds pause = early_target::kUsualPause;
  // Number of callers that send a request at the same time.
  int callers = 1;
};

void PrintTo(const target_response& response, std::ostream* out) {
  *out << response.name << ", upload of " << response.upload_bytes
       << " bytes, pause of " << response.pause.count() << " ms, "
       << response.callers << " callers";
}

// Runs the program with a store and targets that respond to the first bytes of
// a request. Each request has a route, a service and a target of its own,
// because a host avoids a target after a broken response.
class BrokenResponseProcessTest
    : public testing::TestWithParam<target_response> {
 protected:
  BrokenResponseProcessTest()
      : folder_(std::filesystem::temp_directory_path() /
                ("broken_response_test_" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
    for (int request = 0; request < RequestCount(); ++request) {
      AddTarget(std::to_string(request), GetParam().bytes, GetParam().end,
                GetParam().pause);
    }
    AddTarget("sound",
              SignedHead("200 OK\r\nContent-Length: 0\r\nConnection: close"),
              connection_end::kHalfClose);
    store_.Put(platform_names::kConfigurationKind,
               platform_names::kConfigurationName,
               {{"version", "00000001"},
                {"routes", routes_},
                {"services", json::object()},
                {"limits", {{"max-body-bytes", kLongUpload}}}});
    host_ = std::make_unique<soak_host>(
        soak_host::settings{PROGRAM_FOLDER "/bulrush_edge", folder_.string(),
                            "host", "a", HostIp(), store_.address()},
        time_);
    host_->Start();
  }

  ~BrokenResponseProcessTest() override {
    host_->Signal(SIGKILL);
    host_.reset();
    std::filesystem::remove_all(folder_);
  }

  // Processes that run at the same time get different loopback addresses.
  static std::string HostIp() {
    constexpr int kByte = 256;
    return "127." + std::to_string(1 + getpid() / kByte % (kByte - 2)) + "." +
           std::to_string(getpid() % kByte) + ".202";
  }

  void AddTarget(const std::string& name,
                 const std::string& response,
                 connection_end end,
                 milliseconds pause = early_target::kUsualPause) {
    targets_.push_back(
        std::make_unique<early_target>(loop_, response, end, pause));
    store_.Put(platform_names::kTargetKind, "target-" + name,
               {{"service", "service-" + name},
                {"address", FormatEndpoint(targets_.back()->address())},
                {"zone", "a"},
                {"version", "1"},
                {"slots", 6},
                {"state", "ready"},
                {"warmup-left-ms", 0},
                {"seq", 1},
                {"born", 1}});
    routes_["route-" + name] = {{"host", "h"},
                                {"path-prefix", "/" + name + "/"},
                                {"kind", "unsafe"},
                                {"max-attempts", 1},
                                {"timeout-ms", kRequestTime.count()},
                                {"target-latency-ms", 500},
                                {"service", "service-" + name}};
  }

  template <typename Condition>
  void RunUntil(Condition condition, milliseconds limit) {
    const time_point end = time_.Now() + limit;
    while (!condition() && time_.Now() < end) {
      loop_.run_for(milliseconds(5));
    }
  }

  // A request of a caller and what it has received.
  struct caller_request {
    explicit caller_request(asio::io_context& loop) : socket(loop) {
      reader.Start(false);
    }

    bool IsDone() const {
      return is_ended || state != response_read_state::kIncomplete;
    }

    tcp::socket socket;
    std::string bytes;
    response_reader reader{kLongUpload};
    response_read_state state = response_read_state::kIncomplete;
    bool is_ended = false;
    std::array<char, 4096> buffer{};
  };

  std::shared_ptr<caller_request> StartRequest(const std::string& name,
                                               std::size_t upload_bytes) {
    std::shared_ptr<caller_request> started =
        std::make_shared<caller_request>(loop_);
    socket_error failure;
    const endpoint address = host_->caller_address();
    started->socket.connect({asio::ip::make_address(address.ip), address.port},
                            failure);
    started->is_ended = failure.failed();
    started->bytes =
        "POST /" + name + "/ HTTP/1.1\r\nHost: h\r\n" +
        std::string(platform_names::kAttemptIdHeader) + ": 1\r\n" +
        std::string(platform_names::kDeadlineHeader) +
        ": 4000\r\nContent-Length: " + std::to_string(upload_bytes) +
        "\r\n\r\n" + std::string(upload_bytes, 'u');
    asio::async_write(started->socket, asio::buffer(started->bytes),
                      [started](const socket_error&, std::size_t) {});
    ReadResponse(started);
    return started;
  }

  static void ReadResponse(const std::shared_ptr<caller_request>& request) {
    request->socket.async_read_some(
        asio::buffer(request->buffer),
        [request](const socket_error& error, std::size_t size) {
          if (error) {
            request->is_ended = true;
            return;
          }
          request->state = request->reader.Feed({request->buffer.data(), size});
          if (!request->IsDone()) {
            ReadResponse(request);
          }
        });
  }

  // Sends a request to each of the routes at the same time. Returns the host's
  // responses, with status 0 for those that did not come.
  std::vector<proxy_response> AskAll(const std::vector<std::string>& names,
                                     std::size_t upload_bytes) {
    std::vector<std::shared_ptr<caller_request>> requests;
    requests.reserve(names.size());
    for (const std::string& name : names) {
      requests.push_back(StartRequest(name, upload_bytes));
    }
    RunUntil(
        [&requests] {
          return std::all_of(requests.begin(), requests.end(),
                             [](const std::shared_ptr<caller_request>& made) {
                               return made->IsDone();
                             });
        },
        kRequestTime);
    std::vector<proxy_response> responses;
    responses.reserve(requests.size());
    for (const std::shared_ptr<caller_request>& made : requests) {
      socket_error ignored;
      made->socket.close(ignored);
      responses.push_back(made->state == response_read_state::kComplete
                              ? made->reader.TakeResponse().response
                              : proxy_response{});
    }
    return responses;
  }

  proxy_response Ask(const std::string& name, std::size_t upload_bytes) {
    return AskAll({name}, upload_bytes)[0];
  }

  void WaitUntilItServes() {
    const time_point end = time_.Now() + kStartTime;
    while (Ask("sound", kShortUpload).status != 200 && time_.Now() < end) {
      loop_.run_for(milliseconds(50));
    }
  }

  std::filesystem::path folder_;
  asio::io_context loop_{1};
  loop_clock time_;
  platform_store_stand_in store_{loop_};
  json routes_ = json::object();
  std::vector<std::unique_ptr<early_target>> targets_;
  std::unique_ptr<soak_host> host_;
};

// Guards against a broken response that reaches a caller of the real program.
TEST_P(BrokenResponseProcessTest, ACallerGetsAWholeResponseOrAnError) {
  WaitUntilItServes();
  for (int first = 0; first < RequestCount(); first += GetParam().callers) {
    std::vector<std::string> names;
    for (int request = first;
         request < std::min(RequestCount(), first + GetParam().callers);
         ++request) {
      names.push_back(std::to_string(request));
    }
    for (const proxy_response& response :
         AskAll(names, GetParam().upload_bytes)) {
      EXPECT_EQ(response.status, GetParam().expected_status) << first;
      if (response.status == 200) {
        EXPECT_EQ(response.body, kWholeBody) << first;
      }
    }
  }
}

const std::string kForged =
    SignedHead("200 OK\r\nContent-Length: 10") + kWholeBody;

INSTANTIATE_TEST_SUITE_P(
    Forms,
    BrokenResponseProcessTest,
    testing::Values(
        target_response{"reset_during_an_upload", SignedHead("200 OK") + "part",
                        connection_end::kReset, kLongUpload, 502},
        target_response{"whole_body_without_length",
                        SignedHead("200 OK") + kWholeBody,
                        connection_end::kHalfClose, kShortUpload, 200},
        target_response{"whole_body_without_length_during_an_upload",
                        SignedHead("200 OK") + kWholeBody,
                        connection_end::kHalfClose, kLongUpload, 200},
        target_response{"status_000", SignedHead("000 Trouble") + kForged,
                        connection_end::kHalfClose, kShortUpload, 502},
        target_response{"blank_in_a_name",
                        SignedHead("200 OK\r\nBad Name: x") + kWholeBody,
                        connection_end::kHalfClose, kShortUpload, 502},
        target_response{"control_byte_in_a_name",
                        SignedHead("200 OK\r\nBad\x01Name: x") + kWholeBody,
                        connection_end::kHalfClose, kShortUpload, 502}));

// The reset of a response without a length, at different times after the part
// that was sent, for uploads that are complete by then and that are not.
std::vector<target_response> Resets() {
  constexpr int kManyCallers = 16;
  std::vector<target_response> resets;
  for (const milliseconds pause :
       {milliseconds(0), milliseconds(50), milliseconds(600)}) {
    for (const std::size_t upload : {kShortUpload, kLongUpload}) {
      for (const int callers : {1, kManyCallers}) {
        resets.push_back({"reset", SignedHead("200 OK") + "part",
                          connection_end::kReset, upload, 502, pause, callers});
      }
    }
  }
  return resets;
}

INSTANTIATE_TEST_SUITE_P(Resets,
                         BrokenResponseProcessTest,
                         testing::ValuesIn(Resets()));

}  // namespace
}  // namespace bulrushshore

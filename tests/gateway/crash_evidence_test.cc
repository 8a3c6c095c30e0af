#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/gateway/gateway_fixture.h"

namespace bulrushshore {
namespace {

constexpr int kTargets = 6;
constexpr int kRounds = 12;

// A request may crash at most this number of targets before it is held back:
// two by certain losses, or three by possible ones.
constexpr int kMaxCrashes = 3;

// Each target of the service "s" crashes when it runs POST /pay/poison.
class CrashEvidenceTest : public GatewayTest {
 protected:
  CrashEvidenceTest() {
    for (int number = 0; number < kTargets; ++number) {
      AddTarget("s" + std::to_string(number), [this](const proxy_request&) {
        ++crashes_;
        return scripted_reply{
            .bytes = "", .closes_after = true, .resets = true};
      });
    }
  }

  // Adds a target of the service "u", which runs every request.
  void AddHarmlessTarget() {
    AddTarget("u", [](const proxy_request& request) {
      return scripted_target::Success(request);
    });
    target_entry entry = *state_.targets().Find("u");
    entry.service = "u";
    entry.sequence += 1;
    state_.targets().Apply(entry, time_.Now());
  }

  // Sets a route of each of the host names. The first one's requests go to
  // `services` in equal parts, those of the others to the service "u".
  void ApplyRoutes(const std::vector<std::string>& host_names,
                   const std::vector<weighted_service>& services) {
    rule_set rules;
    rules.version = ++version_;
    for (const std::string& host_name : host_names) {
      route_rule route;
      route.name = "pay-" + host_name;
      route.host_name = host_name;
      route.path_prefix = "/pay/";
      route.services = rules.routes.empty()
                           ? services
                           : std::vector<weighted_service>{{"u", 1.0}};
      route.timeout = std::chrono::milliseconds(1000);
      route.target_latency = std::chrono::milliseconds(500);
      route.max_attempts = 2;
      rules.routes[route.name] = route;
    }
    ASSERT_TRUE(state_.SetRules(std::make_shared<const rule_set>(rules)));
  }

  // Sends POST /pay/poison to the host name and returns the status.
  int Pay(const std::string& host_name) {
    Send("POST /pay/poison HTTP/1.1\r\nHost: " + host_name +
         "\r\nX-Attempt: 1\r\nX-Deadline: 5000\r\nContent-Length: 0\r\n\r\n");
    const std::vector<proxy_response> responses = Receive();
    return responses.empty() ? 0 : responses[0].status;
  }

  int crashes_ = 0;
};

// Guards against a request that is cleared by responses to another one: the
// same path of another host name was served, and the request crashed targets
// for as long as it came.
TEST_F(CrashEvidenceTest, AResponseForAnotherHostNameClearsNothing) {
  AddHarmlessTarget();
  ApplyRoutes({"h", "other"}, {{"s", 1.0}});
  for (int round = 0; round < kRounds; ++round) {
    Pay("h");
    EXPECT_EQ(Pay("other"), 200);
  }
  EXPECT_LE(crashes_, kMaxCrashes);
}

// Guards against a host name that counts as another one because it is written
// in another way.
TEST_F(CrashEvidenceTest, AHostNameIsTheSameInEachSpelling) {
  ApplyRoutes({"h"}, {{"s", 1.0}});
  for (int round = 0; round < kRounds; ++round) {
    Pay(round % 2 == 0 ? "h" : "H:80");
  }
  EXPECT_LE(crashes_, kMaxCrashes);
}

// Guards against a request that is cleared by one service's responses while it
// crashes the targets of another one, and against one that is held back where
// it does no harm.
TEST_F(CrashEvidenceTest, AResponseOfAnotherServiceClearsNothing) {
  AddHarmlessTarget();
  ApplyRoutes({"h"}, {{"s", 1.0}, {"u", 1.0}});
  int served = 0;
  for (int round = 0; round < 3 * kRounds; ++round) {
    served += Pay("h") == 200 ? 1 : 0;
  }
  EXPECT_LE(crashes_, kMaxCrashes);
  EXPECT_GE(served, kRounds / 2);
}

// Guards against a request that is cleared by a failing target: an error
// response does not show that the target ran the request.
TEST_F(CrashEvidenceTest, AnErrorResponseClearsNothing) {
  for (int number = 0; number < 2; ++number) {
    AddTarget("failing" + std::to_string(number),
              [](const proxy_request& request) {
                scripted_reply reply = scripted_target::Success(request);
                reply.bytes.replace(reply.bytes.find("200"), 3, "500");
                return reply;
              });
  }
  ApplyRoutes({"h"}, {{"s", 1.0}});
  for (int round = 0; round < 3 * kRounds; ++round) {
    Pay("h");
  }
  EXPECT_LE(crashes_, kMaxCrashes);
}

}  // namespace
}  // namespace bulrushshore

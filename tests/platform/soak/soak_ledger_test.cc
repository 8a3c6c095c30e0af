#include "tests/platform/soak/soak_ledger.h"

#include <gtest/gtest.h>

#include "platform/names.h"

namespace bulrushshore {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

soak_request MakeRequest(const std::string& id, bool is_idempotent = false) {
  soak_request request;
  request.id = id;
  request.is_idempotent = is_idempotent;
  request.sent = kStart;
  return request;
}

exchange_outcome Answer(int status,
                        const std::string& id,
                        const std::string& body) {
  received_response received;
  received.response.status = status;
  received.response.headers.Add(platform_names::kAttemptIdHeader, id);
  received.response.headers.Add(platform_names::kSignatureHeader, "s");
  received.response.body = body;
  return received;
}

// Each test shows that a check of the soak fails when its promise is broken.
TEST(SoakLedgerTest, AcceptsAWholeAnswer) {
  soak_ledger ledger;
  ledger.OnRun("1", "t", "body", kStart);
  ledger.OnEnd(MakeRequest("1"), Answer(200, "1", "body"), {});
  ledger.CheckAtEnd();
  EXPECT_TRUE(ledger.violations().empty());
}

TEST(SoakLedgerTest, FindsAnAnswerThatIsCutOrAnothers) {
  soak_ledger ledger;
  ledger.OnRun("1", "t", "body", kStart);
  ledger.OnEnd(MakeRequest("1"), Answer(200, "1", "bod"), {});
  ledger.OnRun("2", "t", "other", kStart);
  ledger.OnEnd(MakeRequest("2"), Answer(200, "1", "other"), {});
  EXPECT_EQ(ledger.violations().size(), 2U);
}

TEST(SoakLedgerTest, FindsWorkThatRanTwice) {
  soak_ledger ledger;
  ledger.OnRun("1", "t", "a", kStart);
  ledger.OnRun("1", "u", "b", kStart);
  ledger.OnEnd(MakeRequest("1"), Answer(200, "1", "b"), {});
  ledger.CheckAtEnd();
  EXPECT_EQ(ledger.violations().size(), 1U);
}

TEST(SoakLedgerTest, FindsWorkThatRanAlthoughItWasRefused) {
  soak_ledger ledger;
  ledger.OnEnd(MakeRequest("1", true), Answer(503, "1", ""), {});
  ledger.OnRun("1", "t", "late", kStart + std::chrono::seconds(1));
  ledger.CheckAtEnd();
  EXPECT_EQ(ledger.violations().size(), 1U);
}

TEST(SoakLedgerTest, FindsARequestThatWasPassedOnAndCut) {
  soak_ledger ledger;
  ledger.OnRun("1", "t", "a", kStart);
  ledger.OnEnd(MakeRequest("1"), exchange_failure::kClosedBeforeResponse,
               {true, false});
  EXPECT_EQ(ledger.violations().size(), 1U);
  ledger.OnRun("2", "t", "a", kStart);
  ledger.OnEnd(MakeRequest("2"), exchange_failure::kClosedBeforeResponse,
               {false, false});
  EXPECT_EQ(ledger.violations().size(), 1U);
}

TEST(SoakLedgerTest, FindsAConfigurationThatIsLateOrGoesBack) {
  soak_ledger ledger;
  soak_request request = MakeRequest("1", true);
  request.route_version = 3;
  ledger.OnEnd(request, Answer(404, "1", ""), {true, false});
  EXPECT_TRUE(ledger.violations().empty());
  ledger.OnEnd(request, Answer(404, "1", ""), {true, true});
  EXPECT_EQ(ledger.violations().size(), 1U);
  ledger.OnRun("1", "t", "a", kStart);
  ledger.OnEnd(request, Answer(200, "1", "a"), {});
  request.route_version = 2;
  ledger.OnEnd(request, Answer(404, "1", ""), {true, false});
  EXPECT_EQ(ledger.violations().size(), 2U);
}

}  // namespace
}  // namespace bulrushshore

#include "libraries/history/operation_history.h"

#include <sstream>
#include <string>

#include <gtest/gtest.h>

#include "libraries/history/work_answer.h"

namespace bulrushshore {
namespace {

constexpr char kStart[] =
    R"({"event":"work_start","run":"r","target":"t","incarnation":"i",)"
    R"("request_id":"o.1","key":"","kind":"k","unix_ms":1})"
    "\n";

// Guards against a damaged history that passes as one without violations.
TEST(OperationHistoryTest, RejectsDamagedAndContradictoryLines) {
  for (const std::string& text :
       {std::string("x\n"), std::string("{}\n"), std::string("\n"),
        std::string(kStart) + kStart, std::string("{\"event\":\"other\"}\n"),
        std::string(
            R"({"event":"work_end","run":"r","outcome":"done","unix_ms":1})") +
            "\n",
        std::string(R"({"event":"work_end","run":"unknown",)") +
            R"("outcome":"completed","unix_ms":1})" + "\n"}) {
    operation_history history;
    std::istringstream file(text);
    const status added = history.AddFile("name", file);
    ASSERT_FALSE(IsOk(added)) << text;
    EXPECT_EQ(ErrorOf(added).message.rfind("name:", 0), 0U);
  }
}

// Guards against a crash that makes the history of its process unreadable.
TEST(OperationHistoryTest, CountsALastLineThatWasCutByACrash) {
  operation_history history;
  std::istringstream file(std::string(kStart) + R"({"event":"work_e)");
  ASSERT_TRUE(IsOk(history.AddFile("name", file)));
  EXPECT_EQ(history.incomplete_lines(), 1U);
  EXPECT_EQ(history.runs().size(), 1U);
}

// Guards against a response that is altered without notice.
TEST(WorkAnswerTest, DetectsEveryCutAndEveryAlteredByte) {
  const work_answer answer{"o.1", "k", "t", "r", "xx"};
  const std::string body = FormatWorkAnswer(answer);
  ASSERT_EQ(ValueOf(ParseWorkAnswer(body)), answer);
  for (std::size_t size = 0; size < body.size(); ++size) {
    EXPECT_FALSE(IsOk(ParseWorkAnswer(body.substr(0, size))));
    std::string altered = body;
    altered[size] = altered[size] == '0' ? '1' : '0';
    EXPECT_FALSE(IsOk(ParseWorkAnswer(altered))) << altered;
  }
}

}  // namespace
}  // namespace bulrushshore

#include <sstream>
#include <string>

#include "libraries/history/history_check.h"
#include "libraries/history/history_event.h"
#include "libraries/history/operation_history.h"
#include "libraries/history/work_answer.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

void CheckEvent(std::string_view line) {
  const result<history_event> event = ParseHistoryEvent(line);
  if (!IsOk(event)) {
    return;
  }
  const nlohmann::json encoded = ToJson(ValueOf(event));
  const result<history_event> again = ParseHistoryEvent(encoded.dump());
  Require(IsOk(again) && ToJson(ValueOf(again)) == encoded,
          "an event keeps its contents");
}

void CheckAnswer(std::string_view body) {
  const result<work_answer> answer = ParseWorkAnswer(body);
  if (!IsOk(answer)) {
    return;
  }
  const result<work_answer> again =
      ParseWorkAnswer(FormatWorkAnswer(ValueOf(answer)));
  Require(IsOk(again) && ValueOf(again) == ValueOf(answer),
          "an answer keeps its contents");
}

void CheckFile(std::string_view text) {
  operation_history history;
  std::istringstream input{std::string(text)};
  if (IsOk(history.AddFile("fuzz", input))) {
    (void)CheckHistory(history);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text = FuzzText(data, size);
  CheckEvent(text.substr(0, text.find('\n')));
  CheckAnswer(text);
  CheckFile(text);
  return 0;
}

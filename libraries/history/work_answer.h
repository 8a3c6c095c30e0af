#ifndef LIBRARIES_HISTORY_WORK_ANSWER_H_
#define LIBRARIES_HISTORY_WORK_ANSWER_H_

#include <string>
#include <string_view>

#include "libraries/base/result.h"

namespace bulrushshore {

// The response body of a stand-in target. It names the request that it
// belongs to and carries a checksum over all fields, so that a caller detects
// a swapped, altered or incomplete response.
struct work_answer {
  std::string request_id;
  // Empty if the request carried no idempotency key.
  std::string key;
  // Name of the target that ran the work.
  std::string target;
  // Identifies this execution among all executions of all targets.
  std::string run;
  // Pads the response to the size that the request asked for.
  std::string filler;

  bool operator==(const work_answer&) const = default;
};

// Returns a JSON object with the fields of `answer` and "checksum", the XXH3
// 64-bit hash of the other fields as 16 hexadecimal digits. Thread safe.
std::string FormatWorkAnswer(const work_answer& answer);

// Reads what FormatWorkAnswer() wrote. kDataLoss if `body` is incomplete, is
// no such object or does not match its checksum. Thread safe.
result<work_answer> ParseWorkAnswer(std::string_view body);

}  // namespace bulrushshore

#endif  // LIBRARIES_HISTORY_WORK_ANSWER_H_

#include <string>
#include <variant>
#include <vector>

#include "libraries/http/request_reader.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

constexpr request_size_limits kLimits{.max_header_bytes = 4096,
                                      .max_body_bytes = 4096};

// Returns what the reader makes of `bytes` if they arrive `step` at a time.
std::vector<std::string> ReadInSteps(std::string_view bytes, std::size_t step) {
  request_reader reader(kLimits);
  std::vector<std::string> events;
  while (!bytes.empty()) {
    reader.Append(bytes.substr(0, step));
    bytes.remove_prefix(std::min(bytes.size(), step));
    while (true) {
      const request_read_result next = reader.Next();
      if (std::holds_alternative<more_bytes_needed>(next)) {
        break;
      }
      if (std::holds_alternative<request_fault>(next)) {
        events.emplace_back("fault");
        return events;
      }
      const received_request& received = std::get<received_request>(next);
      Require(received.request.body.size() <= kLimits.max_body_bytes,
              "the body limit is kept");
      events.push_back(received.request.method + " " + received.request.target +
                       "\n" + received.request.body);
    }
  }
  return events;
}

}  // namespace

// How bytes are cut into packets must not decide which requests they are.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes = FuzzText(data, size);
  std::vector<std::string> at_once = ReadInSteps(bytes, bytes.size() + 1);
  std::vector<std::string> in_parts = ReadInSteps(bytes, 7);
  // A fault is seen earlier or later, but the requests before it are the same.
  if (!at_once.empty() && at_once.back() == "fault") {
    at_once.pop_back();
  }
  if (!in_parts.empty() && in_parts.back() == "fault") {
    in_parts.pop_back();
  }
  Require(at_once == in_parts, "the requests do not depend on the packets");
  return 0;
}

#include <set>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/membership/key_handover.h"
#include "libraries/peer_protocol/message_codec.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

void CheckJoinedParts(std::string_view bytes) {
  const result<std::vector<std::string>> parts = SplitHandoverParts(bytes);
  if (!IsOk(parts)) {
    return;
  }
  const result<std::vector<std::string>> again =
      SplitHandoverParts(JoinHandoverParts(ValueOf(parts)));
  Require(IsOk(again) && ValueOf(again) == ValueOf(parts),
          "joined parts split again");
}

// Any sequence of slices: a table is complete with exactly the stated bytes,
// and is passed on once.
void CheckSlices(std::string_view input) {
  handover_receiver receiver("00000000000000bb");
  std::set<std::string> imported;
  frame_splitter frames(input);
  while (frames.HasMore()) {
    const result<peer_message> message = DecodeMessage(frames.Next());
    const handover_message* slice =
        IsOk(message) ? std::get_if<handover_message>(&ValueOf(message).body)
                      : nullptr;
    if (slice == nullptr) {
      continue;
    }
    const handover_receiver::outcome outcome =
        receiver.OnSlice(*slice, true, time_point(std::chrono::hours(1)));
    Require(outcome.ack.has_value() || !imported.contains(slice->incarnation),
            "a finished table is answered");
    if (outcome.complete.has_value()) {
      Require(outcome.complete->bytes.size() == slice->total_bytes,
              "a complete table has its size");
      Require(imported.insert(slice->incarnation).second,
              "a table is complete once");
      (void)receiver.Finish(slice->incarnation, true);
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  CheckJoinedParts(FuzzText(data, size));
  CheckSlices(FuzzText(data, size));
  return 0;
}

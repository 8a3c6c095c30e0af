#include <deque>
#include <utility>
#include <vector>

#include "libraries/configuration/catalog_pull.h"
#include "libraries/peer_protocol/message_codec.h"
#include "libraries/store/catalog_bundle.h"
#include "tests/fuzz/fuzz_input.h"

// Each frame of the input is the reply to the oldest open request.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  frame_splitter frames(FuzzText(data, size));
  catalog_pull pull({});
  std::deque<parts_request_message> open;
  while (frames.HasMore()) {
    for (parts_request_message& request : pull.TakeRequests()) {
      open.push_back(std::move(request));
    }
    if (open.empty()) {
      break;
    }
    const result<peer_message> message = DecodeMessage(frames.Next());
    const parts_reply_message* reply =
        IsOk(message) ? std::get_if<parts_reply_message>(&ValueOf(message).body)
                      : nullptr;
    if (reply == nullptr) {
      continue;
    }
    const parts_request_message request = std::move(open.front());
    open.pop_front();
    if (!IsOk(pull.OnReply(request, *reply))) {
      return 0;
    }
  }
  if (pull.is_complete()) {
    (void)BuildSnapshot(pull.TakeCatalog());
  }
  return 0;
}

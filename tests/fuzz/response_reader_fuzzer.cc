#include "libraries/http/response_reader.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  constexpr std::uint64_t kMaxBody = 4096;
  const std::string_view bytes = FuzzText(data, size);
  response_reader reader(kMaxBody);
  reader.Start(false);
  response_read_state state = reader.Feed(bytes);
  while (state == response_read_state::kComplete) {
    Require(reader.TakeResponse().response.body.size() <= kMaxBody,
            "the body limit is kept");
    reader.Start(false);
    state = reader.FeedBuffered();
  }
  if (state == response_read_state::kIncomplete && reader.HasStarted() &&
      reader.FinishAtEnd() == response_read_state::kComplete) {
    Require(!reader.TakeResponse().is_keep_alive,
            "a response that ended its connection does not keep it");
  }
  return 0;
}

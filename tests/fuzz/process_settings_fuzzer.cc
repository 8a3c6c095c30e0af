#include "platform/process_settings.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  const result<process_settings> settings =
      ParseProcessSettings(FuzzText(data, size));
  if (IsOk(settings)) {
    Require(!ValueOf(settings).host_id.empty(), "the host is named");
    Require(ValueOf(settings).retry_ratio >= 0.0, "the ratio is positive");
  } else {
    Require(!ErrorOf(settings).message.empty(), "the fault is named");
  }
  return 0;
}

#include "libraries/idempotency/idempotency_key.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  const std::string_view text = FuzzText(data, size);
  (void)IsValidForeignKey(text);
  const result<idempotency_key> key = ParseIdempotencyKey(text);
  if (!IsOk(key)) {
    return 0;
  }
  Require(HasOwnKeyPrefix(text), "an own key has the prefix");
  Require(FormatIdempotencyKey(ValueOf(key)) == text,
          "a key has one spelling only");
  return 0;
}

#include <nlohmann/json.hpp>

#include "libraries/base/cbor_check.h"
#include "tests/fuzz/fuzz_input.h"

// Whatever the check accepts is read by the library without an error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  const std::string_view bytes = FuzzText(data, size);
  if (!IsBoundedCbor(bytes)) {
    return 0;
  }
  constexpr bool kIsStrict = true;
  constexpr bool kThrows = false;
  const nlohmann::json value =
      nlohmann::json::from_cbor(bytes, kIsStrict, kThrows);
  // The library also refuses map keys that are no text.
  if (value.is_discarded()) {
    return 0;
  }
  std::string encoded;
  nlohmann::json::to_cbor(value, encoded);
  Require(IsBoundedCbor(encoded), "an encoded value passes the check");
  Require(nlohmann::json::from_cbor(encoded) == value,
          "a value keeps its contents");
  return 0;
}

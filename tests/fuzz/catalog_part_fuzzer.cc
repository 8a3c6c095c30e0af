#include <string_view>

#include "libraries/catalog/limits.h"
#include "libraries/catalog/part_codec.h"
#include "tests/fuzz/fuzz_input.h"

// The first byte of the input is the index of the part.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  if (size == 0) {
    return 0;
  }
  const std::size_t index = data[0] % kPartCount;
  catalog_contents contents;
  if (!IsOk(DecodePart(index, FuzzText(data + 1, size - 1), contents))) {
    return 0;
  }
  (void)CheckReferences(contents);
  (void)ComputeCapacities(contents);
  const result<encoded_parts> encoded = EncodeParts(contents);
  Require(IsOk(encoded), "a decoded part encodes");
  catalog_contents again;
  for (std::size_t other = 0; other < kPartCount; ++other) {
    const std::string& bytes = ValueOf(encoded)[other];
    Require(other == index || bytes.empty(),
            "a part holds its own objects only");
    Require(bytes.empty() || IsOk(DecodePart(other, bytes, again)),
            "an encoded part decodes");
  }
  Require(again == contents, "a part keeps its contents");
  return 0;
}

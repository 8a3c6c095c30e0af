#include "libraries/base/cbor_check.h"

#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

// Guards against a check that refuses what the encoder writes.
TEST(CborCheckTest, AcceptsWhatTheEncoderWrites) {
  const nlohmann::json value = {
      {"list", {1, 23, 24, 255, 256, 65536, 4294967296, -1, -500}},
      {"text", std::string(300, 'x')},
      {"flags", {true, false, nullptr}},
      {"deep", {{{{{1}}}}}}};
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  EXPECT_TRUE(IsBoundedCbor(bytes));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    EXPECT_FALSE(IsBoundedCbor(std::string_view(bytes).substr(0, length)));
  }
  EXPECT_FALSE(IsBoundedCbor(bytes + "x"));
}

// Guards against input on which the recursive reader exhausts the stack or
// which claims lengths that it does not have.
TEST(CborCheckTest, RefusesDeepAndIndefiniteAndOversizedItems) {
  EXPECT_FALSE(IsBoundedCbor(std::string(500'000, '\x81')));
  EXPECT_FALSE(IsBoundedCbor(std::string(500'000, '\x7f')));
  EXPECT_FALSE(IsBoundedCbor("\x9f\x01\xff"));
  EXPECT_FALSE(IsBoundedCbor("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"));
  EXPECT_FALSE(IsBoundedCbor("\xbb\xff\xff\xff\xff\xff\xff\xff\xff"));
  EXPECT_FALSE(IsBoundedCbor("\xc1\x01"));
  EXPECT_FALSE(IsBoundedCbor(std::string_view("\xf9\x00\x00", 3)));
}

}  // namespace
}  // namespace bulrushshore

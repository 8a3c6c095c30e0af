#include "libraries/base/endpoint.h"

#include <string>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against addresses that are accepted but cannot be connected to.
TEST(EndpointTest, RejectsMalformedAddresses) {
  for (const char* text :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "localhost:80", "::1:80", "[127.0.0.1]:80", "127.0.0.1:80x", ":80"}) {
    const result<endpoint> parsed = ParseEndpoint(text);
    ASSERT_FALSE(IsOk(parsed)) << text;
    EXPECT_EQ(ErrorOf(parsed).code, error_code::kInvalidArgument);
  }
}

// Guards against a formatted address that does not parse to the same value.
TEST(EndpointTest, FormatsWhatItParses) {
  for (const std::string text :
       {"127.0.0.1:9001", "[::1]:80", "10.0.0.9:65535"}) {
    const result<endpoint> parsed = ParseEndpoint(text);
    ASSERT_TRUE(IsOk(parsed)) << text;
    EXPECT_EQ(FormatEndpoint(ValueOf(parsed)), text);
  }
}

}  // namespace
}  // namespace bulrushshore

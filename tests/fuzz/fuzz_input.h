#ifndef TESTS_FUZZ_FUZZ_INPUT_H_
#define TESTS_FUZZ_FUZZ_INPUT_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace bulrushshore {

// Returns the bytes that libFuzzer passes as text.
inline std::string_view FuzzText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// Ends the process, which libFuzzer reports as a crash, if `holds` is false.
inline void Require(bool holds, const char* property) {
  if (!holds) {
    std::fprintf(stderr, "property violated: %s\n", property);
    std::abort();
  }
}

// Cuts one input into several frames: each frame follows two bytes that give
// its length, high byte first; the last one may be shorter.
class frame_splitter {
 public:
  explicit frame_splitter(std::string_view input) : rest_(input) {}

  bool HasMore() const { return !rest_.empty(); }

  // Precondition: HasMore().
  std::string_view Next() {
    constexpr std::size_t kLengthBytes = 2;
    constexpr unsigned kByteBits = 8;
    if (rest_.size() < kLengthBytes) {
      rest_ = {};
      return {};
    }
    const std::size_t length =
        (static_cast<std::size_t>(static_cast<unsigned char>(rest_[0]))
         << kByteBits) |
        static_cast<unsigned char>(rest_[1]);
    const std::string_view frame = rest_.substr(kLengthBytes, length);
    rest_.remove_prefix(kLengthBytes + frame.size());
    return frame;
  }

 private:
  std::string_view rest_;
};

}  // namespace bulrushshore

#endif  // TESTS_FUZZ_FUZZ_INPUT_H_

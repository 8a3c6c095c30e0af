#include "libraries/base/random_source.h"

#include <array>
#include <cassert>
#include <cstdio>

namespace bulrushshore {

std::uint64_t random_source::Uniform(std::uint64_t bound) {
  assert(bound > 0);
  // Multiplying and shifting maps 64 random bits to the range without the bias
  // towards small numbers that a remainder has.
  __extension__ using wide = unsigned __int128;
  return static_cast<std::uint64_t>((static_cast<wide>(Next()) * bound) >> 64U);
}

double random_source::UniformReal() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11U) * kScale;
}

seeded_random::seeded_random(std::uint64_t seed) : engine_(seed) {}

seeded_random seeded_random::FromSystemEntropy() {
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  return seeded_random((high << 32U) | low);
}

std::uint64_t seeded_random::Next() {
  return engine_();
}

std::string FormatHex(std::uint64_t value) {
  std::array<char, 17> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return std::string(buffer.data());
}

}  // namespace bulrushshore

#ifndef LIBRARIES_BASE_RANDOM_SOURCE_H_
#define LIBRARIES_BASE_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>
#include <string>

namespace bulrushshore {

// A source of random numbers, replaced by a seeded one in tests.
class random_source {
 public:
  virtual ~random_source() = default;

  // Returns 64 uniformly distributed bits. Not thread safe.
  virtual std::uint64_t Next() = 0;

  // Returns a number in [0, bound). Precondition: bound > 0. Not thread safe.
  std::uint64_t Uniform(std::uint64_t bound);

  // Returns a number in [0, 1). Not thread safe.
  double UniformReal();
};

// A Mersenne Twister. Not thread safe.
class seeded_random : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed);

  // Returns a source seeded by the operating system. Thread safe.
  static seeded_random FromSystemEntropy();

  std::uint64_t Next() override;

 private:
  std::mt19937_64 engine_;
};

// Returns `value` as 16 lower-case hexadecimal digits. Thread safe.
std::string FormatHex(std::uint64_t value);

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_RANDOM_SOURCE_H_

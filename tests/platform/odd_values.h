#ifndef TESTS_PLATFORM_ODD_VALUES_H_
#define TESTS_PLATFORM_ODD_VALUES_H_

#include <cstddef>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushshore {

// A value of another writer in an object of the store, as text.
struct odd_value {
  const char* name;
  std::string text;
};

inline void PrintTo(const odd_value& value, std::ostream* out) {
  *out << value.name;
}

// Returns values that are no valid JSON, or valid JSON that a reader may fail
// on. None is a string or number that a reader accepts.
inline std::vector<odd_value> OddValues() {
  constexpr std::size_t kDepth = 100'000;
  constexpr std::size_t kLength = 5000;
  std::string objects;
  for (std::size_t level = 0; level < kDepth; ++level) {
    objects += "{\"a\":";
  }
  std::string values = "[0";
  for (std::size_t value = 0; value < kLength; ++value) {
    values += ",0";
  }
  return {
      {"deep_arrays", std::string(kDepth, '[') + std::string(kDepth, ']')},
      {"deep_objects", objects + "1" + std::string(kDepth, '}')},
      {"number_out_of_range", "1e999"},
      {"many_digits", "1" + std::string(kLength, '0')},
      {"lone_surrogate", R"("\udcff\udcfe")"},
      {"bytes_that_are_no_text", "\"\xff\xfe\""},
      {"control_character", "\"a\nb\""},
      {"long_text", "\"" + std::string(kLength * kLength / 100, 'x') + "\""},
      {"many_values", values + "]"},
      {"no_json", "tru"}};
}

}  // namespace bulrushshore

#endif  // TESTS_PLATFORM_ODD_VALUES_H_

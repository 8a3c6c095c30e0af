#include "libraries/base/cbor_check.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bulrushshore {
namespace {

// Major types of RFC 8949, section 3.1.
constexpr std::uint8_t kByteString = 2;
constexpr std::uint8_t kTextString = 3;
constexpr std::uint8_t kArray = 4;
constexpr std::uint8_t kMap = 5;
constexpr std::uint8_t kTag = 6;
constexpr std::uint8_t kSimple = 7;

struct item_head {
  std::uint8_t major_type = 0;
  std::uint64_t argument = 0;
};

// Takes the head of the next item off `rest`.
std::optional<item_head> TakeHead(std::string_view& rest) {
  if (rest.empty()) {
    return std::nullopt;
  }
  const std::uint8_t first = static_cast<std::uint8_t>(rest.front());
  rest.remove_prefix(1);
  item_head head;
  head.major_type = first >> 5U;
  head.argument = first & 0x1fU;
  constexpr std::uint64_t kOneByteArgument = 24;
  constexpr std::uint64_t kEightByteArgument = 27;
  if (head.argument < kOneByteArgument) {
    return head;
  }
  if (head.argument > kEightByteArgument) {
    return std::nullopt;
  }
  const std::size_t length = std::size_t{1}
                             << (head.argument - kOneByteArgument);
  if (rest.size() < length) {
    return std::nullopt;
  }
  head.argument = 0;
  for (const char byte : rest.substr(0, length)) {
    head.argument = (head.argument << 8U) | static_cast<std::uint8_t>(byte);
  }
  rest.remove_prefix(length);
  // Only integers and lengths have an argument here, so that a simple value or
  // a floating-point number of more than one byte is refused.
  if (head.major_type == kSimple) {
    return std::nullopt;
  }
  return head;
}

bool IsAllowedSimple(std::uint64_t argument) {
  constexpr std::uint64_t kFalse = 20;
  constexpr std::uint64_t kNull = 22;
  return argument >= kFalse && argument <= kNull;
}

}  // namespace

bool IsBoundedCbor(std::string_view bytes) {
  std::string_view rest = bytes;
  // Items still to come on each open level; the outermost level has one.
  std::vector<std::uint64_t> open = {1};
  while (!open.empty()) {
    if (open.back() == 0) {
      open.pop_back();
      continue;
    }
    --open.back();
    const std::optional<item_head> head = TakeHead(rest);
    if (!head.has_value() || head->major_type == kTag ||
        (head->major_type == kSimple && !IsAllowedSimple(head->argument))) {
      return false;
    }
    const bool is_string =
        head->major_type == kByteString || head->major_type == kTextString;
    const bool is_container =
        head->major_type == kArray || head->major_type == kMap;
    // Every byte of a string and every item of a container takes a byte.
    if ((is_string || is_container) && head->argument > rest.size()) {
      return false;
    }
    if (is_string) {
      rest.remove_prefix(head->argument);
    }
    if (is_container) {
      const std::uint64_t items_per_entry = head->major_type == kMap ? 2 : 1;
      open.push_back(head->argument * items_per_entry);
      if (open.size() > kMaxCborDepth + 1) {
        return false;
      }
    }
  }
  return rest.empty();
}

}  // namespace bulrushshore

#include "libraries/idempotency/idempotency_key.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace bulrushshore {
namespace {

constexpr std::string_view kFormatPrefix = "bk1.";
constexpr std::size_t kFieldCount = 4;
constexpr std::size_t kIncarnationDigits = 16;
constexpr std::size_t kMaxHostIdBytes = 64;

bool ConsistsOf(std::string_view text, std::string_view characters) {
  return text.find_first_not_of(characters) == std::string_view::npos;
}

bool IsHostId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxHostIdBytes &&
         ConsistsOf(text, "abcdefghijklmnopqrstuvwxyz0123456789-");
}

bool IsIncarnation(std::string_view text) {
  return text.size() == kIncarnationDigits &&
         ConsistsOf(text, "0123456789abcdef");
}

bool IsCallerPart(std::string_view text) {
  return !text.empty() && text.size() <= kMaxCallerPartBytes &&
         ConsistsOf(text,
                    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                    "0123456789_-");
}

std::optional<std::uint64_t> ParseGeneration(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  if (std::to_string(value) != text) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string_view> SplitFields(std::string_view text) {
  std::vector<std::string_view> fields;
  while (true) {
    const std::size_t dot = text.find('.');
    fields.push_back(text.substr(0, dot));
    if (dot == std::string_view::npos) {
      return fields;
    }
    text.remove_prefix(dot + 1);
  }
}

}  // namespace

bool HasOwnKeyPrefix(std::string_view text) {
  return text.starts_with(kFormatPrefix);
}

result<idempotency_key> ParseIdempotencyKey(std::string_view text) {
  const error faulty = {error_code::kInvalidArgument,
                        "faulty idempotency key; expected bk1.<host id>."
                        "<incarnation>.<generation>.<caller part>"};
  if (!HasOwnKeyPrefix(text) || text.size() > kMaxKeyBytes) {
    return faulty;
  }
  const std::vector<std::string_view> fields =
      SplitFields(text.substr(kFormatPrefix.size()));
  if (fields.size() != kFieldCount || !IsHostId(fields[0]) ||
      !IsIncarnation(fields[1]) || !IsCallerPart(fields[3])) {
    return faulty;
  }
  const std::optional<std::uint64_t> generation = ParseGeneration(fields[2]);
  if (!generation.has_value()) {
    return faulty;
  }
  return idempotency_key{std::string(fields[0]), std::string(fields[1]),
                         *generation, std::string(fields[3])};
}

std::string FormatIdempotencyKey(const idempotency_key& key) {
  return std::string(kFormatPrefix) + key.host_id + "." + key.incarnation +
         "." + std::to_string(key.generation) + "." + key.caller_part;
}

bool IsValidForeignKey(std::string_view text) {
  constexpr char kFirstVisible = 0x21;
  constexpr char kLastVisible = 0x7e;
  return !text.empty() && text.size() <= kMaxKeyBytes &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character >= kFirstVisible && character <= kLastVisible;
         });
}

}  // namespace bulrushshore

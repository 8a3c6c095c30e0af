#include "libraries/caller/idempotency_key.h"

#include <algorithm>
#include <cassert>

namespace bulrushshore {
namespace {

constexpr std::string_view kFormat = "bk1.";
// "bk1", the host id, the incarnation and the generation.
constexpr std::ptrdiff_t kDotsInPrefix = 3;

std::string_view WithoutDotAtEnd(std::string_view prefix) {
  if (!prefix.empty() && prefix.back() == '.') {
    prefix.remove_suffix(1);
  }
  return prefix;
}

bool IsKeyCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_' || character == '.';
}

}  // namespace

bool IsKeyPrefix(std::string_view prefix) {
  prefix = WithoutDotAtEnd(prefix);
  return prefix.substr(0, kFormat.size()) == kFormat &&
         std::count(prefix.begin(), prefix.end(), '.') == kDotsInPrefix &&
         prefix.find("..") == std::string_view::npos && prefix.back() != '.' &&
         std::all_of(prefix.begin(), prefix.end(), IsKeyCharacter);
}

idempotency_key_maker::idempotency_key_maker(random_source& random)
    : caller_id_(FormatHex(random.Next())) {}

std::string idempotency_key_maker::MakeCallerPart() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return caller_id_ + "-" + FormatHex(next_++);
}

std::string idempotency_key_maker::Join(std::string_view prefix,
                                        std::string_view caller_part) {
  assert(IsKeyPrefix(prefix));
  return std::string(WithoutDotAtEnd(prefix)) + "." + std::string(caller_part);
}

}  // namespace bulrushshore

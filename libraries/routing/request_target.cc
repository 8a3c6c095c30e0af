#include "libraries/routing/request_target.h"

#include <charconv>
#include <cstddef>
#include <optional>

namespace bulrushshore {
namespace {

constexpr char kFirstVisible = 0x21;
constexpr char kLastVisible = 0x7e;
constexpr std::size_t kEscapeLength = 3;

error InvalidTarget(std::string_view what) {
  return {error_code::kInvalidArgument, "request target: " + std::string(what)};
}

bool IsUnreserved(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') ||
         std::string_view("-._~").find(character) != std::string_view::npos;
}

// The characters that RFC 3986 allows in a path beside the unreserved ones.
bool IsOtherPathCharacter(char character) {
  return std::string_view("!$&'()*+,;=:@/").find(character) !=
         std::string_view::npos;
}

std::optional<char> DecodeEscape(std::string_view escape) {
  if (escape.size() < kEscapeLength) {
    return std::nullopt;
  }
  unsigned int value = 0;
  const char* const end = escape.data() + kEscapeLength;
  const std::from_chars_result parsed =
      std::from_chars(escape.data() + 1, end, value, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

// Escapes that targets are known to decode before they split the path.
bool IsForbiddenEscape(char decoded) {
  const unsigned char value = static_cast<unsigned char>(decoded);
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return decoded == '/' || decoded == '\\' || value < kSpace ||
         value == kDelete;
}

std::string UpperCaseEscape(std::string_view escape) {
  std::string upper(escape.substr(0, kEscapeLength));
  for (char& character : upper) {
    if (character >= 'a' && character <= 'f') {
      character = static_cast<char>(character - 'a' + 'A');
    }
  }
  return upper;
}

result<std::string> NormalizePath(std::string_view path) {
  std::string normalized;
  normalized.reserve(path.size());
  std::size_t position = 0;
  while (position < path.size()) {
    const char character = path[position];
    if (IsUnreserved(character) || IsOtherPathCharacter(character)) {
      normalized += character;
      ++position;
      continue;
    }
    if (character != '%') {
      return InvalidTarget("the path has a character that must be encoded");
    }
    const std::string_view escape = path.substr(position);
    const std::optional<char> decoded = DecodeEscape(escape);
    if (!decoded.has_value() || IsForbiddenEscape(*decoded)) {
      return InvalidTarget("the path has a faulty or forbidden escape");
    }
    normalized += IsUnreserved(*decoded) ? std::string(1, *decoded)
                                         : UpperCaseEscape(escape);
    position += kEscapeLength;
  }
  return normalized;
}

// Empty segments are allowed only at the end, as in "/archive/".
bool HasForbiddenSegment(std::string_view path) {
  std::size_t start = 1;
  while (start < path.size()) {
    const std::size_t slash = path.find('/', start);
    const std::string_view segment = path.substr(start, slash - start);
    if (segment.empty() || segment == "." || segment == "..") {
      return true;
    }
    if (slash == std::string_view::npos) {
      return false;
    }
    start = slash + 1;
  }
  return false;
}

bool IsVisible(std::string_view text) {
  for (const char character : text) {
    if (character < kFirstVisible || character > kLastVisible) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string request_target::ToString() const {
  return query.empty() ? path : path + "?" + query;
}

result<request_target> ParseRequestTarget(std::string_view text) {
  if (text.empty() || text.front() != '/') {
    return InvalidTarget("it does not start with '/'");
  }
  if (!IsVisible(text) || text.find('#') != std::string_view::npos) {
    return InvalidTarget("it has a forbidden character");
  }
  const std::size_t question_mark = text.find('?');
  result<std::string> path = NormalizePath(text.substr(0, question_mark));
  if (!IsOk(path)) {
    return ErrorOf(path);
  }
  if (HasForbiddenSegment(ValueOf(path))) {
    return InvalidTarget("the path has a dot segment or an empty segment");
  }
  request_target target;
  target.path = TakeValue(std::move(path));
  if (question_mark != std::string_view::npos) {
    target.query = text.substr(question_mark + 1);
  }
  return target;
}

}  // namespace bulrushshore

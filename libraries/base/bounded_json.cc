#include "libraries/base/bounded_json.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

bool IsSpace(char character) {
  return character == ' ' || character == '\t' || character == '\n' ||
         character == '\r';
}

bool EndsScalar(char character) {
  return character == ',' || character == ']' || character == '}' ||
         character == ':' || IsSpace(character);
}

// Walks through a JSON text without decoding it.
class json_scanner {
 public:
  explicit json_scanner(std::string_view text) : text_(text) {}

  void SkipSpace() {
    while (position_ < text_.size() && IsSpace(text_[position_])) {
      ++position_;
    }
  }

  // Skips space and `expected`. Returns false if another character follows.
  bool Take(char expected) {
    SkipSpace();
    if (position_ == text_.size() || text_[position_] != expected) {
      return false;
    }
    ++position_;
    return true;
  }

  bool IsAtEnd() {
    SkipSpace();
    return position_ == text_.size();
  }

  // Returns true if a container, string or scalar starts here.
  bool IsAtValue() const {
    return position_ < text_.size() && !EndsScalar(text_[position_]);
  }

  // Returns the string that follows, without its quotes.
  std::optional<std::string_view> TakeString() {
    SkipSpace();
    const std::size_t start = position_;
    if (!SkipString()) {
      return std::nullopt;
    }
    return text_.substr(start + 1, position_ - start - 2);
  }

  // Returns the text of the value that follows.
  std::optional<std::string_view> TakeValue() {
    SkipSpace();
    const std::size_t start = position_;
    std::size_t depth = 0;
    do {
      if (!SkipToken(depth)) {
        return std::nullopt;
      }
      if (depth > 0) {
        SkipSpace();
      }
    } while (depth > 0);
    return text_.substr(start, position_ - start);
  }

  // Skips one bracket, separator, string or scalar and follows the depth.
  // Returns false at the end of the text and at a bracket too many.
  bool SkipToken(std::size_t& depth) {
    if (position_ == text_.size()) {
      return false;
    }
    switch (text_[position_]) {
      case '"':
        return SkipString();
      case '[':
      case '{':
        ++depth;
        ++position_;
        return true;
      case ']':
      case '}':
        if (depth == 0) {
          return false;
        }
        --depth;
        ++position_;
        return true;
      case ',':
      case ':':
        ++position_;
        return depth > 0;
      default:
        while (position_ < text_.size() && !EndsScalar(text_[position_])) {
          ++position_;
        }
        return true;
    }
  }

 private:
  bool SkipString() {
    if (position_ == text_.size() || text_[position_] != '"') {
      return false;
    }
    for (++position_; position_ < text_.size(); ++position_) {
      if (text_[position_] == '"') {
        ++position_;
        return true;
      }
      if (text_[position_] == '\\') {
        ++position_;
      }
    }
    position_ = text_.size();
    return false;
  }

  std::string_view text_;
  std::size_t position_ = 0;
};

// Returns true if no prefix of the text is deeper or holds more values than the
// limits allow.
bool IsWithinLimits(std::string_view text, const json_limits& limits) {
  if (text.size() > limits.max_bytes) {
    return false;
  }
  json_scanner scanner(text);
  std::size_t depth = 0;
  std::size_t values = 0;
  while (!scanner.IsAtEnd()) {
    values += scanner.IsAtValue() ? 1 : 0;
    if (!scanner.SkipToken(depth) || depth > limits.max_depth ||
        values > limits.max_values) {
      return false;
    }
  }
  return depth == 0;
}

// Calls `take_part` for each part of a container until it returns false.
// Returns false if the text is not one whole container.
template <typename TakePart>
bool SplitContainer(std::string_view text,
                    char first,
                    char last,
                    const TakePart& take_part) {
  json_scanner scanner(text);
  if (!scanner.Take(first)) {
    return false;
  }
  if (scanner.Take(last)) {
    return scanner.IsAtEnd();
  }
  do {
    if (!take_part(scanner)) {
      return false;
    }
  } while (scanner.Take(','));
  return scanner.Take(last) && scanner.IsAtEnd();
}

}  // namespace

std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               const json_limits& limits) {
  if (!IsWithinLimits(text, limits)) {
    return std::nullopt;
  }
  constexpr bool kThrows = false;
  nlohmann::json value = nlohmann::json::parse(text, nullptr, kThrows);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::vector<json_member_text>> SplitJsonObject(
    std::string_view text,
    std::size_t max_parts) {
  std::vector<json_member_text> members;
  const bool is_whole =
      SplitContainer(text, '{', '}', [&](json_scanner& scanner) {
        const std::optional<std::string_view> name = scanner.TakeString();
        if (!name || !scanner.Take(':')) {
          return false;
        }
        const std::optional<std::string_view> value = scanner.TakeValue();
        if (!value || value->empty() || members.size() == max_parts) {
          return false;
        }
        members.push_back({*name, *value});
        return true;
      });
  if (!is_whole) {
    return std::nullopt;
  }
  return members;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text,
    std::size_t max_parts) {
  std::vector<std::string_view> elements;
  const bool is_whole =
      SplitContainer(text, '[', ']', [&](json_scanner& scanner) {
        const std::optional<std::string_view> value = scanner.TakeValue();
        if (!value || value->empty() || elements.size() == max_parts) {
          return false;
        }
        elements.push_back(*value);
        return true;
      });
  if (!is_whole) {
    return std::nullopt;
  }
  return elements;
}

std::string_view FindMemberText(const std::vector<json_member_text>& members,
                                std::string_view name) {
  const auto found = std::find_if(
      members.begin(), members.end(),
      [name](const json_member_text& member) { return member.name == name; });
  return found == members.end() ? std::string_view{} : found->value;
}

}  // namespace bulrushshore

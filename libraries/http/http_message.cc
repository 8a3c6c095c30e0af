#include "libraries/http/http_message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace bulrushshore {
namespace {

constexpr std::array<std::string_view, 11> kConnectionHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Trailer",
    "Proxy-Connection",
    "Proxy-Authorization",
    "TE",
    "Transfer-Encoding",
    "Upgrade",
    "HTTP2-Settings",
    "Content-Length"};

char LowerCase(char character) {
  return character >= 'A' && character <= 'Z'
             ? static_cast<char>(character - 'A' + 'a')
             : character;
}

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), LowerCase);
  return lower;
}

std::vector<std::string> SplitList(std::string_view list) {
  std::vector<std::string> elements;
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    const std::string_view element = TrimWhitespace(list.substr(0, comma));
    if (!element.empty()) {
      elements.emplace_back(element);
    }
    if (comma == std::string_view::npos) {
      break;
    }
    list.remove_prefix(comma + 1);
  }
  return elements;
}

}  // namespace

void http_headers::Add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

void http_headers::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void http_headers::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const http_header& field) {
    return EqualsIgnoringCase(field.name, name);
  });
}

std::optional<std::string> http_headers::Find(std::string_view name) const {
  const auto found = std::find_if(fields_.begin(), fields_.end(),
                                  [name](const http_header& field) {
                                    return EqualsIgnoringCase(field.name, name);
                                  });
  return found == fields_.end() ? std::nullopt
                                : std::optional<std::string>(found->value);
}

std::size_t http_headers::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(), [name](const http_header& field) {
        return EqualsIgnoringCase(field.name, name);
      }));
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char first, char second) {
                      return LowerCase(first) == LowerCase(second);
                    });
}

std::string_view TrimWhitespace(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool HasListElement(std::string_view list, std::string_view token) {
  const std::vector<std::string> elements = SplitList(list);
  return std::any_of(elements.begin(), elements.end(),
                     [token](const std::string& element) {
                       return EqualsIgnoringCase(element, token);
                     });
}

void RemoveHopByHopHeaders(http_headers& headers) {
  // One pass with sorted names: a sender may list thousands of names.
  std::vector<std::string> removed;
  removed.reserve(kConnectionHeaders.size());
  for (const std::string_view name : kConnectionHeaders) {
    removed.push_back(ToLowerCase(name));
  }
  for (const http_header& field : headers.fields()) {
    if (EqualsIgnoringCase(field.name, "Connection")) {
      for (const std::string& element : SplitList(field.value)) {
        removed.push_back(ToLowerCase(element));
      }
    }
  }
  std::sort(removed.begin(), removed.end());
  headers.RemoveIf([&removed](const http_header& field) {
    return std::binary_search(removed.begin(), removed.end(),
                              ToLowerCase(field.name));
  });
}

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace bulrushshore

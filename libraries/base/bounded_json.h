#ifndef LIBRARIES_BASE_BOUNDED_JSON_H_
#define LIBRARIES_BASE_BOUNDED_JSON_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace bulrushshore {

// Limits on a JSON text of another process. The copy constructor of
// nlohmann::json recurses once a level, so that the depth bounds the stack; a
// value takes up to some hundred bytes, so that their number bounds the memory.
struct json_limits {
  std::size_t max_bytes = std::size_t{1} << 20;
  std::size_t max_depth = 32;
  // Containers, strings and scalars, the names of members included.
  std::size_t max_values = 65'536;
};

// Returns the value of `text`, or no value if it is not JSON, exceeds a limit
// or holds a number or string that nlohmann::json can't represent. Never
// throws because of `text`. Thread safe.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text,
                                               const json_limits& limits = {});

// A member of an object as text. The escapes of `name` are not decoded.
struct json_member_text {
  std::string_view name;
  std::string_view value;
};

// Split the text of an object or array into the texts of its members or
// elements, which may themselves be unreadable: strings are not decoded, and
// brackets only have to balance. Return no value if `text` can't be split or
// has more than `max_parts`. Do not recurse. The views are valid as long as
// `text`. Thread safe.
std::optional<std::vector<json_member_text>> SplitJsonObject(
    std::string_view text,
    std::size_t max_parts);
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text,
    std::size_t max_parts);

// Returns the text of the first member `name`, or an empty view if there is
// none. Thread safe.
std::string_view FindMemberText(const std::vector<json_member_text>& members,
                                std::string_view name);

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_BOUNDED_JSON_H_

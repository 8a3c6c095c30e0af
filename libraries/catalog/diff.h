#ifndef LIBRARIES_CATALOG_DIFF_H_
#define LIBRARIES_CATALOG_DIFF_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/catalog/types.h"

namespace bulrushshore {

// An object that differs between two catalogs. Without `before` it is new,
// without `after` it is gone.
template <typename Object>
struct object_change {
  std::string key;
  std::optional<Object> before;
  std::optional<Object> after;

  bool operator==(const object_change&) const = default;
};

using catalog_change = std::variant<object_change<service>,
                                    object_change<target>,
                                    object_change<route>,
                                    object_change<organisation>>;

// Returns what turns `before` into `after`, ordered by type (services, targets,
// routes, organisations) and key. Thread safe.
std::vector<catalog_change> DiffCatalogs(const catalog_contents& before,
                                         const catalog_contents& after);

// One value of a changed object; `before` or `after` is empty if the object is
// new or gone. Names and values are those of the release note format.
struct field_change {
  std::string name;
  std::string before;
  std::string after;

  bool operator==(const field_change&) const = default;
};

// A change in the words of the release note format, for people and JSON.
struct change_description {
  // "add", "change" or "withdraw".
  std::string verb;
  // "service", "target", "route" or "organisation".
  std::string object_type;
  std::string key;
  // The values that differ.
  std::vector<field_change> fields;
};

// Describes `change`. Thread safe.
change_description DescribeChange(const catalog_change& change);

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_DIFF_H_

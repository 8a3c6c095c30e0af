#ifndef LIBRARIES_ROUTING_ROUTE_TABLE_H_
#define LIBRARIES_ROUTING_ROUTE_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libraries/catalog/types.h"

namespace bulrushshore {

// Returns the value of a Host header without the port and in lower case.
// Thread safe.
std::string HostNameOf(std::string_view host_header);

// Finds the route of a request. Immutable after construction, so that any
// number of threads may read it. A lookup costs one hash lookup for each
// segment of the path up to the longest prefix, whatever the number of routes.
class route_table {
 public:
  // Copies the routes. Of routes with equal prefix and host name the first one
  // in the order of names is used.
  explicit route_table(const catalog_contents& contents);

  // Returns the route with the longest prefix of `path` on a segment boundary;
  // of equal prefixes the one that names the host. Null if none matches. The
  // pointer is valid as long as this object. Precondition: `path` comes from
  // ParseRequestTarget(), `host_name` from HostNameOf(). Thread safe.
  const route* Find(std::string_view path, std::string_view host_name) const;

  std::size_t size() const { return size_; }

 private:
  struct routes_of_prefix {
    std::optional<route> any_host;
    std::map<std::string, route, std::less<>> by_host;
  };

  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  void Add(const route& added);
  const route* FindPrefix(std::string_view prefix,
                          std::string_view host_name) const;

  // Prefixes have no trailing slash; the root is the empty string.
  std::
      unordered_map<std::string, routes_of_prefix, string_hash, std::equal_to<>>
          prefixes_;
  std::size_t longest_prefix_ = 0;
  std::size_t size_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ROUTING_ROUTE_TABLE_H_

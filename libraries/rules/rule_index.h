#ifndef LIBRARIES_RULES_RULE_INDEX_H_
#define LIBRARIES_RULES_RULE_INDEX_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libraries/base/random_source.h"
#include "libraries/rules/rule_set.h"

namespace bulrushshore {

// Finds the route of a request in one version of the configuration. Find()
// performs at most one hash lookup per slash of the path, regardless of the
// number of routes. Immutable after construction, so any number of threads may
// read it.
class rule_index {
 public:
  // Precondition: `rules` is not null.
  explicit rule_index(std::shared_ptr<const rule_set> rules);

  // Returns the route of this host name with the longest path prefix that
  // matches the path of `request_target` (path and query of the request line),
  // or null. `host_header` may contain a port. The pointer is valid as long as
  // this object. Thread safe.
  const route_rule* Find(std::string_view host_header,
                         std::string_view request_target) const;

  const rule_set& rules() const { return *rules_; }

 private:
  std::shared_ptr<const rule_set> rules_;
  // By host name and path prefix, joined by a space.
  std::unordered_map<std::string, const route_rule*> routes_;
};

// Chooses the service of one request at random, in proportion to the weights,
// all of which are positive. Precondition: `route` has at least one service.
// Thread safe if no other thread uses `random`.
const std::string& ChooseService(const route_rule& route,
                                 random_source& random);

}  // namespace bulrushshore

#endif  // LIBRARIES_RULES_RULE_INDEX_H_

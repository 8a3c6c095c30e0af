#ifndef LIBRARIES_CONFIGURATION_REFUSED_SOURCES_H_
#define LIBRARIES_CONFIGURATION_REFUSED_SOURCES_H_

#include <cstdint>
#include <map>
#include <string>

#include "libraries/base/clock.h"

namespace bulrushshore {

// Remembers for a while which peers sent invalid configurations, and versions
// that several peers sent in invalid form, so that neither is pulled over and
// over. Not thread safe.
class refused_sources {
 public:
  // Returns true if `version` may be pulled from `peer`.
  bool IsAllowed(const std::string& peer,
                 std::uint64_t version,
                 time_point now) const;

  // Notes that `peer` sent `version` in invalid form.
  void Add(const std::string& peer, std::uint64_t version, time_point now);

 private:
  struct refusal {
    time_point until;
    std::uint32_t count = 0;
  };

  std::map<std::string, time_point> peers_;
  std::map<std::uint64_t, refusal> versions_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CONFIGURATION_REFUSED_SOURCES_H_

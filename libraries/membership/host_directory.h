#ifndef LIBRARIES_MEMBERSHIP_HOST_DIRECTORY_H_
#define LIBRARIES_MEMBERSHIP_HOST_DIRECTORY_H_

#include <optional>
#include <string_view>
#include <vector>

#include "libraries/peer_protocol/host_record.h"

namespace bulrushshore {

// Read access to the membership view of this host.
class host_directory {
 public:
  virtual ~host_directory() = default;

  // Returns the record of this host. Thread safe.
  virtual host_record Self() const = 0;

  // Returns all known hosts, this one included, ordered by id. Thread safe.
  virtual std::vector<host_record> Hosts() const = 0;

  // Returns the host that answers for keys of `incarnation`: the process
  // itself or the one that inherited its keys. Thread safe.
  virtual std::optional<host_record> FindKeyOwner(
      std::string_view incarnation) const = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_HOST_DIRECTORY_H_

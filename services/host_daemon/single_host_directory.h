#ifndef SERVICES_HOST_DAEMON_SINGLE_HOST_DIRECTORY_H_
#define SERVICES_HOST_DAEMON_SINGLE_HOST_DIRECTORY_H_

#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "libraries/membership/host_directory.h"

namespace bulrushshore {

// FIXME: A directory that knows only this host stands in until the gossip
// transport is there.
class single_host_directory : public host_directory {
 public:
  explicit single_host_directory(host_record self);

  host_record Self() const override;
  std::vector<host_record> Hosts() const override;
  std::optional<host_record> FindKeyOwner(
      std::string_view incarnation) const override;

  // Thread safe.
  void BeginLeaving();

 private:
  mutable std::mutex mutex_;
  host_record self_;
};

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_SINGLE_HOST_DIRECTORY_H_

#include "services/host_daemon/single_host_directory.h"

#include <utility>

namespace bulrushshore {

single_host_directory::single_host_directory(host_record self)
    : self_(std::move(self)) {}

host_record single_host_directory::Self() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return self_;
}

std::vector<host_record> single_host_directory::Hosts() const {
  return {Self()};
}

std::optional<host_record> single_host_directory::FindKeyOwner(
    std::string_view incarnation) const {
  host_record self = Self();
  if (self.incarnation != incarnation) {
    return std::nullopt;
  }
  return self;
}

void single_host_directory::BeginLeaving() {
  const std::lock_guard<std::mutex> lock(mutex_);
  self_.state = host_state::kLeaving;
}

}  // namespace bulrushshore

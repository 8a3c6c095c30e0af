#include "libraries/peer_protocol/host_record.h"

namespace bulrushshore {

std::string_view HostStateName(host_state state) {
  switch (state) {
    case host_state::kLive:
      return "live";
    case host_state::kLeaving:
      return "leaving";
    case host_state::kSuspected:
      return "suspected";
    case host_state::kLost:
      return "lost";
  }
  return "lost";
}

}  // namespace bulrushshore

#ifndef LIBRARIES_PROBING_PROBE_CLIENT_H_
#define LIBRARIES_PROBING_PROBE_CLIENT_H_

#include "libraries/base/endpoint.h"

namespace bulrushshore {

// What a target's health endpoint said. It may lag or mislead.
struct probe_outcome {
  bool is_healthy = false;
  bool is_draining = false;

  bool operator==(const probe_outcome&) const = default;
};

// Asks a target for its health. Implementations are thread safe and block for
// at most the time-out they were built with.
class probe_client {
 public:
  virtual ~probe_client() = default;

  virtual probe_outcome Probe(const endpoint& address) = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROBING_PROBE_CLIENT_H_

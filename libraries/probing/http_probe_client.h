#ifndef LIBRARIES_PROBING_HTTP_PROBE_CLIENT_H_
#define LIBRARIES_PROBING_HTTP_PROBE_CLIENT_H_

#include <chrono>

#include "libraries/base/clock.h"
#include "libraries/probing/probe_client.h"

namespace bulrushshore {

// Sends `GET /health` on a new connection, so that a probe also shows whether
// the target still accepts connections. Status 200 is healthy; the header
// `X-Draining: 1` or the JSON member "status" with the value "draining" says
// that the target is leaving. Thread safe.
class http_probe_client : public probe_client {
 public:
  // Precondition: `source` outlives this object.
  http_probe_client(const clock& source, std::chrono::milliseconds timeout);

  probe_outcome Probe(const endpoint& address) override;

 private:
  const clock& clock_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROBING_HTTP_PROBE_CLIENT_H_

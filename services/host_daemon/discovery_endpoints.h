#ifndef SERVICES_HOST_DAEMON_DISCOVERY_ENDPOINTS_H_
#define SERVICES_HOST_DAEMON_DISCOVERY_ENDPOINTS_H_

#include "libraries/fleet/fleet_agent.h"
#include "libraries/proxy/request_pipeline.h"

namespace bulrushshore {

// Returns the handler of `GET /_bulrush/hosts` and `GET /_bulrush/key`. It
// answers from memory, without a call to the store. Precondition: `fleet`
// outlives the handler. The handler is thread safe.
discovery_handler MakeDiscoveryHandler(const fleet_agent& fleet);

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_DISCOVERY_ENDPOINTS_H_
